#include "key_resolver.hpp"

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

/// \brief Returns the digest of a request; repeats under its key have to match it.
std::uint64_t digest_of(state::request const& request)
{
    std::uint64_t const body = request.body ? state::stable_hash(*request.body) : 0;
    return state::mix(state::stable_hash(request.path, state::mix(body, 0)), request.model.value);
}

key_home_settings home_settings_of(node_settings const& settings)
{
    bool const enabled = settings.safeguards.has(safeguard::key_takeover);
    return {settings.key_window, settings.key_takeover_delay,
            std::max<std::size_t>(1, settings.seeds.size()), enabled};
}

} // namespace

key_resolver::key_resolver(shard_core& core)
    : core_{core}, homes_{core.settings().self.id, home_settings_of(core.settings())}
{
}

void key_resolver::observe()
{
    if (started_at_ == state::never)
    {
        started_at_ = core_.now;
        core_.keys.mark_incomplete_until(core_.now);
    }
    homes_.observe(core_.view().members, core_.now);
    // While this VM was in the minority, or presumed dead, others decided on its keys.
    bool const in_majority = homes_.in_majority();
    minority_since_ = in_majority ? state::never : std::min(minority_since_, core_.now);
    if (!in_majority || !was_in_majority_)
    {
        core_.keys.mark_incomplete_until(core_.now);
    }
    was_in_majority_ = in_majority;
    core_.keys.mark_incomplete_until(core_.view().presumed_dead_at);
}

key_decision key_resolver::decide(state::request const& request, bool relayed) const
{
    key_entry const* const known = core_.keys.find(request.key);
    if (known != nullptr && known->content_digest != digest_of(request))
    {
        return {key_verdict::in_use, known->generation, {}};
    }
    if (known != nullptr && known->generation && core_.enabled(safeguard::dispatch_once))
    {
        return {key_verdict::attach, known->generation, {}};
    }
    state::node_id const home = homes_.home_of(request.key);
    if (home != core_.settings().self.id && core_.enabled(safeguard::key_home))
    {
        // The relaying peer has another view of the members: one of the two views is stale.
        return {relayed ? key_verdict::in_doubt : key_verdict::relay, {}, home};
    }
    if (known != nullptr)
    {
        return {key_verdict::run, {}, home};
    }
    bool const first = request.attempt == 1;
    if (first && !first_attempt_may_run())
    {
        return {key_verdict::home_unreachable, {}, home};
    }
    bool const run = first || earlier_attempts_known(request.key);
    return {run ? key_verdict::run : key_verdict::in_doubt, {}, home};
}

// A VM that has just started is home to keys that others still assign to the former home: a first
// attempt here and its repeat there would both run. The same holds for a VM that knows fewer
// members than its settings name. In a partition that outlasts the window, the majority forgets
// that this VM may be home.
bool key_resolver::first_attempt_may_run() const
{
    bool const takeover_delay_passed =
        core_.now >= started_at_ + core_.settings().key_takeover_delay;
    bool const forgotten_soon = minority_since_ != state::never &&
                                core_.now >= minority_since_ + core_.settings().key_window;
    return !core_.enabled(safeguard::key_takeover) ||
           (homes_.knows_all_nodes() && takeover_delay_passed && !forgotten_soon);
}

bool key_resolver::earlier_attempts_known(state::idempotency_key_id key) const
{
    if (!core_.enabled(safeguard::key_doubt))
    {
        return true;
    }
    bool const remembered = core_.now >= core_.keys.complete_since() + core_.settings().key_window;
    bool const sole_home = homes_.in_majority() && homes_.home_throughout_window(key);
    return remembered && (sole_home || !core_.enabled(safeguard::key_home));
}

void key_resolver::remember(state::request const& request, state::generation_id const& id)
{
    core_.keys.remember(request.key, {id, digest_of(request)}, core_.now);
}

} // namespace plumdale::coordination
