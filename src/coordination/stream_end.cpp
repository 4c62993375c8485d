#include <plumdale/coordination/stream_end.hpp>

#include <algorithm>
#include <array>

namespace plumdale::coordination
{

std::string_view to_text(end_proof proof) noexcept
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(end_proof::count)> words{
        "", "framed", "lived on"};
    return words[static_cast<std::size_t>(proof)];
}

void stream_end_record::run_begins() noexcept
{
    closed_at_.reset();
}

void stream_end_record::stop_ordered(state::member_key at)
{
    open_.push_back(at);
}

void stream_end_record::order_ended(state::member_key at, stop_outcome outcome) noexcept
{
    auto const found = std::find(open_.begin(), open_.end(), at);
    if (found != open_.end() && outcome == stop_outcome::no_effect)
    {
        open_.erase(found);
    }
}

void stream_end_record::closed_in_order(state::member_key at) noexcept
{
    closed_at_ = at;
}

bool stream_end_record::may_be_whole() const noexcept
{
    return closed_at_ && std::find(open_.begin(), open_.end(), *closed_at_) == open_.end();
}

std::optional<stream_whole> stream_end_record::proof_by_answer() const noexcept
{
    return stream_whole::by(may_be_whole() ? end_proof::lived_on : end_proof::none);
}

} // namespace plumdale::coordination
