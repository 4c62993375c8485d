#include "upstream_orders.hpp"

#include "boot_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <string>
#include <utility>

namespace plumdale::transport
{

upstream_orders::upstream_orders(net::io_context& context, state::endpoint source,
                                 protocol::dialect const& dialect,
                                 coordination::service_directory const& directory,
                                 coordination::send_gate& gate, statement_handler on_statement)
    : context_{context}, source_{source}, dialect_{dialect}, directory_{directory}, gate_{gate},
      on_statement_{std::move(on_statement)}
{
}

void upstream_orders::send(state::member_key member, protocol::upstream_request order,
                           std::chrono::milliseconds timeout, fetch_handler handler)
{
    coordination::directory_entry const* const entry = directory_.find(member);
    if (entry == nullptr)
    {
        return fail(state::error_kind::no_upstream, "unknown upstream", std::move(handler));
    }
    send_to(member, entry->info.address, std::move(order), timeout, std::move(handler));
}

fetch_canceller upstream_orders::send_to(state::member_key member, state::endpoint address,
                                         protocol::upstream_request order,
                                         std::chrono::milliseconds timeout, fetch_handler handler)
{
    state::time_point const now = boot_now();
    if (!gate_.may_order(member, now))
    {
        fail(state::error_kind::overloaded, "upstream backs off", std::move(handler));
        return [] {
        };
    }
    gate_.note_ordered(member, now);
    fetch_request request;
    request.address = address;
    request.method = std::move(order.method);
    request.target = std::move(order.target);
    request.body = std::move(order.body);
    request.fields = std::move(order.fields);
    request.timeout = timeout;
    request.connect_timeout = connect_timeout;
    request.source = source_;
    request.max_answer_bytes = max_answer_bytes;
    return fetch(
        context_, std::move(request),
        [this, member, handler = std::move(handler)](state::result<fetch_answer> const& answer)
        {
            if (answer)
            {
                on_statement_(
                    member, dialect_.read_statement(answer.value().status, answer.value().fields));
            }
            handler(answer);
        });
}

// Handlers are called later in any case: callers don't expect a call from within theirs.
void upstream_orders::fail(state::error_kind kind, std::string_view why, fetch_handler handler)
{
    net::post(context_,
              [kind, why = std::string{why}, handler = std::move(handler)] {
                  handler(state::failure{kind, why});
              });
}

} // namespace plumdale::transport
