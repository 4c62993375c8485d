#include <plumdale/coordination/send_record.hpp>

#include <algorithm>
#include <array>

namespace plumdale::coordination
{

std::string_view to_text(send_proof proof) noexcept
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(send_proof::count)>
        words{"",         "not written",   "refused by id",
              "stopped",  "unknown there", "process gone",
              "restarted"};
    return words[static_cast<std::size_t>(proof)];
}

void send_record::begin(state::member_key receiver)
{
    // Of the tries that wrote nothing only the newest matters, and a call that waits has many.
    bool const replaces_newest = !sends_.empty() && !sends_.back().is_written;
    if (replaces_newest)
    {
        sends_.pop_back();
    }
    sends_.push_back({receiver});
}

void send_record::note_written() noexcept
{
    if (!sends_.empty())
    {
        sends_.back().is_written = true;
    }
}

void send_record::end(send_proof proof) noexcept
{
    bool const is_news = !sends_.empty() && !proves_ended(sends_.back().proof);
    // What was written can't be unwritten.
    bool const is_false = is_news && proof == send_proof::not_written && sends_.back().is_written;
    if (is_news && !is_false)
    {
        sends_.back().proof = proof;
    }
}

std::uint32_t send_record::written() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(
        sends_.begin(), sends_.end(), [](recorded_send const& each) { return each.is_written; }));
}

bool send_record::has_written_to(state::member_key receiver) const noexcept
{
    return std::any_of(sends_.begin(), sends_.end(),
                       [receiver](recorded_send const& each)
                       { return each.is_written && each.receiver == receiver; });
}

std::uint32_t send_record::possible_runs_here() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(sends_.begin(), sends_.end(),
                                                    [](recorded_send const& each) {
                                                        return each.is_written &&
                                                               !proves_never_ran(each.proof);
                                                    }));
}

std::uint32_t send_record::possible_runs() const noexcept
{
    return runs_elsewhere_ + possible_runs_here();
}

send_proof send_record::newest_proof() const noexcept
{
    return sends_.empty() ? send_proof::none : sends_.back().proof;
}

std::optional<never_ran> send_record::prove_never_ran() const noexcept
{
    return possible_runs() == 0 ? std::optional{never_ran{}} : std::nullopt;
}

std::optional<never_ran_here> send_record::prove_never_ran_here() const noexcept
{
    return possible_runs_here() == 0 ? std::optional{never_ran_here{}} : std::nullopt;
}

bool send_record::may_send_again(bool is_idempotent, std::uint32_t max_runs) const noexcept
{
    return is_idempotent ? possible_runs() < max_runs : prove_never_ran().has_value();
}

refusal send_record::refusal_as(state::error_kind kind) const noexcept
{
    auto const proof = prove_never_ran();
    return proof ? refusal{kind, *proof} : refusal::without_proof(kind);
}

refusal send_record::decline_as(state::error_kind kind) const noexcept
{
    auto const proof = prove_never_ran_here();
    return proof ? refusal{kind, *proof} : refusal::without_proof(kind);
}

} // namespace plumdale::coordination
