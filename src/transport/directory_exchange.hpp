#pragma once

#include "forward_core.hpp"

#include <plumdale/coordination/directory_repair.hpp>
#include <plumdale/coordination/vm_digests.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

/// \file
/// \brief Exchange of the directory of upstreams between forwarding entry VMs.

namespace plumdale::transport
{

/// \brief Functions by which the exchange reaches what isn't in the directory.
struct directory_callbacks
{
    /// \brief Reads the whole list in the store once, though this VM is no reader.
    std::function<void()> read_store;
    /// \brief Called with what a peer knows when it was checked.
    std::function<void(state::endpoint peer, coordination::vm_digests const& theirs)> on_checked;
};

/// \brief Requests the rows that this VM lacks from its peers, and answers their requests.
class directory_exchange
{
public:
    directory_exchange(forward_core& core, directory_callbacks callbacks);

    /// \brief Requests rows from peers, or reads the store, if that is due.
    void advance(state::time_point now);
    /// \brief Requests rows from two peers: this VM may have missed any message.
    void refresh(state::time_point now);
    /// \brief Returns the response body for a peer's request with the digests of its directory.
    [[nodiscard]] std::string answer_to(std::string_view request_body);

    /// \brief Returns the response body for a peer's check.
    [[nodiscard]] std::string answer_to_check() const;

    /// \brief Path at which peers serve their directory of upstreams.
    static constexpr std::string_view target = "/fleet/upstreams";
    /// \brief Path at which they serve the digests of what they know.
    static constexpr std::string_view check_target = "/fleet/digests";
    /// \brief Rows of one answer, some 100 bytes each: 20 ms of a link of 20 Mbit/s.
    static constexpr std::size_t max_rows = 512;

private:
    void perform(coordination::repair_step const& step);
    /// \brief Requests a peer's digests, and its rows if its directory or orders are others.
    void check(state::endpoint peer);
    void compare(state::endpoint peer, coordination::vm_digests const& theirs);
    [[nodiscard]] coordination::vm_digests own_digests() const;
    void request_rows(state::endpoint peer, coordination::repair_reason reason);
    void read_store(coordination::repair_reason reason);
    void log_answer(state::endpoint peer, coordination::repair_reason reason,
                    state::result<coordination::directory_copy> const& copy, bool is_new);
    void log_lasting_difference(state::time_point now);
    [[nodiscard]] coordination::directory_copy copy_for(std::string_view request_body);
    /// \brief Applies a peer's answer; returns whether it brought anything new.
    bool apply(coordination::directory_copy const& copy);

    forward_core& core_;
    directory_callbacks callbacks_;
    coordination::directory_repair repair_;
    /// \brief The reader's directory of the last line about a difference, and when it was written.
    std::uint64_t logged_directory_ = 0;
    state::time_point difference_logged_at_{};
};

} // namespace plumdale::transport
