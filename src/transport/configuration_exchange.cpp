#include "configuration_exchange.hpp"

#include "boot_clock.hpp"

#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/text_patch.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace plumdale::transport
{
namespace
{

using namespace coordination;

constexpr std::string_view part = "configuration";
constexpr std::string_view source = "fleet";
constexpr unsigned success = 200;
// A peer sends its first bytes within some milliseconds. The waits for two silent ones and the wait
// before add up until the store is asked.
constexpr std::chrono::milliseconds peer_timeout{400};

std::uint64_t parse_version(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

configuration_exchange::configuration_exchange(forward_core& core,
                                               configuration_callbacks callbacks)
    : core_{core}, callbacks_{std::move(callbacks)}, catch_up_{core.random}
{
}

// -- offers ---------------------------------------------------------------------------------------

configuration_offer configuration_exchange::offer_for(std::uint64_t base) const
{
    bool const is_former = base != 0 && base == core_.former_version;
    configuration_offer offer;
    offer.version = core_.version();
    offer.base = is_former ? base : 0;
    offer.digest = protocol::text_digest(core_.configuration_text);
    offer.patch = protocol::make_patch(is_former ? core_.former_text : std::string_view{},
                                       core_.configuration_text);
    return offer;
}

void configuration_exchange::broadcast()
{
    configuration_offer offer = offer_for(core_.former_version);
    offer.range.origin = core_.self;
    offer.has_range = true;
    core_.log.write(part, "passed on", {},
                    {{"version", static_cast<std::int64_t>(offer.version)},
                     {"base", static_cast<std::int64_t>(offer.base)},
                     {"patch_bytes", static_cast<std::int64_t>(offer.patch.size())}});
    // A datagram lost in one tree cuts off a part of the fleet, which would miss the configuration
    // until a reader's next message and a request.
    bool const is_direct = callbacks_.peers().size() <= max_direct_peers;
    std::size_t const trees = is_direct ? 1 : trees_per_message;
    for (std::size_t tree = 0; tree < trees; ++tree)
    {
        offer.tree = static_cast<std::uint8_t>(tree);
        forward_offer(offer);
    }
}

void configuration_exchange::forward_offer(configuration_offer const& offer)
{
    if (!offer.has_range)
    {
        return;
    }
    bool const is_large = offer.patch.size() > configuration_offer::max_datagram_patch;
    std::vector<broadcast_peer> const peers = callbacks_.peers();
    std::size_t const fan_out = is_large ? tree_fan_out : fan_out_for(peers.size());
    for (broadcast_target const& each :
         targets_of(offer.range, offer.broadcast_id(), peers, fan_out))
    {
        configuration_offer next = offer;
        next.range = each.subrange;
        next.has_range = each.has_subrange;
        // Receivers request a patch that is too large for a datagram, and then forward the offer.
        next.patch = is_large ? std::string{} : offer.patch;
        callbacks_.send(std::string(1, datagram_tag) +
                            protocol::encode(next, core_.settings.fleet_key),
                        each.to);
    }
}

bool configuration_exchange::apply(configuration_offer const& offer)
{
    bool const fits = offer.base == 0 || offer.base == core_.version();
    if (offer.patch.empty() || !fits)
    {
        return false;
    }
    auto text =
        protocol::apply_patch(offer.base == 0 ? std::string_view{} : core_.configuration_text,
                              offer.patch, protocol::max_configuration_bytes);
    // Texts of one version may differ if a peer's was damaged: only the digest shows it.
    if (!text || protocol::text_digest(text.value()) != offer.digest)
    {
        core_.log.write(part, "patch doesn't fit", {},
                        {{"version", static_cast<std::int64_t>(offer.version)},
                         {"base", static_cast<std::int64_t>(offer.base)}});
        return false;
    }
    return core_.apply_configuration(std::move(text).value(), source);
}

void configuration_exchange::receive_offer(std::span<char const> datagram, state::endpoint streams)
{
    auto const read = protocol::decode_configuration_offer(datagram, core_.settings.fleet_key);
    if (!read)
    {
        core_.metrics.add(forward_count::news_rejected);
        return;
    }
    configuration_offer const& offer = read.value();
    if (offer.version < core_.version())
    {
        return;
    }
    if (offer.version == core_.version() || apply(offer))
    {
        return forward_offer(offer);
    }
    note_peer_version(offer.version);
    request_and_forward(offer, streams);
}

void configuration_exchange::request_and_forward(configuration_offer const& offer,
                                                 state::endpoint streams)
{
    bool const is_requested = std::any_of(unforwarded_.begin(), unforwarded_.end(),
                                          [&offer](configuration_offer const& each)
                                          { return each.version == offer.version; });
    unforwarded_.push_back(offer);
    if (is_requested)
    {
        return;
    }
    request_offer(streams,
                  [this, version = offer.version](bool applied)
                  {
                      for (configuration_offer const& each : std::exchange(unforwarded_, {}))
                      {
                          bool const is_other = each.version != version;
                          if (is_other)
                          {
                              unforwarded_.push_back(each);
                          }
                          else if (applied && core_.version() == version)
                          {
                              forward_offer(each);
                          }
                      }
                  });
}

// -- catching up ----------------------------------------------------------------------------------

void configuration_exchange::note_peer_version(std::uint64_t version)
{
    if (catch_up_.note_peer_version(version, core_.version(), core_.fleet.reader_interval(),
                                    boot_now()))
    {
        log_progress("behind", version, {});
    }
}

void configuration_exchange::log_progress(std::string_view decision, std::uint64_t wanted,
                                          std::string_view asked)
{
    core_.log.write(part, decision, {},
                    {{"version", static_cast<std::int64_t>(core_.version())},
                     {"wanted", static_cast<std::int64_t>(wanted)},
                     {"asked", asked}});
}

void configuration_exchange::advance()
{
    state::time_point const now = boot_now();
    switch (catch_up_.next_source(core_.version(), now))
    {
    case configuration_source::none:
        return;
    case configuration_source::peer:
        if (auto const peer =
                core_.fleet.peer_with_newer_configuration(core_.version(), core_.random(), now))
        {
            log_progress("asks", catch_up_.wanted_version(), "peer");
            return request_offer(*peer,
                                 [this](bool applied)
                                 {
                                     if (!applied)
                                     {
                                         catch_up_.failed(boot_now());
                                     }
                                 });
        }
        return catch_up_.failed(now);
    case configuration_source::store:
        log_progress("asks", catch_up_.wanted_version(), "store");
        return callbacks_.read_store([this] { catch_up_.failed(boot_now()); });
    }
}

void configuration_exchange::request_offer(state::endpoint peer, std::function<void(bool)> done)
{
    fetch_request request;
    request.address = peer;
    request.target = std::string{target} + std::to_string(core_.version());
    request.timeout = peer_timeout;
    request.extends_on_progress = true;
    fetch(core_.context, std::move(request),
          [this, done = std::move(done)](state::result<fetch_answer> const& answer)
          {
              core_.traffic.add_received(message_kind::configuration,
                                         answer ? answer.value().body.size() : 0);
              bool const is_success = answer && answer.value().status == success;
              auto const offer = is_success ? protocol::decode_configuration_offer(
                                                  answer.value().body, core_.settings.fleet_key)
                                            : state::result<configuration_offer>{state::failure{}};
              bool const applied = offer && apply(offer.value());
              if (!applied)
              {
                  core_.log.write(part, "peer gave none", {},
                                  {{"version", static_cast<std::int64_t>(core_.version())},
                                   {"detail", answer ? std::to_string(answer.value().status)
                                                     : answer.error().detail}});
              }
              done(applied);
          });
}

std::string configuration_exchange::answer_to(std::string_view request_target)
{
    std::uint64_t const base = parse_version(request_target.substr(target.size()));
    if (answered_version_ != core_.version() || answered_base_ != base)
    {
        answered_version_ = core_.version();
        answered_base_ = base;
        answer_ = protocol::encode(offer_for(base), core_.settings.fleet_key);
    }
    core_.traffic.add_sent(message_kind::configuration, answer_.size());
    return answer_;
}

} // namespace plumdale::transport
