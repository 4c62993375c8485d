#include <plumdale/protocol/answer_reader.hpp>
#include <plumdale/protocol/answer_status.hpp>

namespace plumdale::protocol
{

answer_reader::answer_reader(message_role role, http_reader::limits bounds)
    : role_{role}, bounds_{bounds}, reader_{role, bounds}
{
}

read_progress answer_reader::append(std::string_view bytes)
{
    reader_.append(bytes);
    while (has_interim_answer() && !has_too_many())
    {
        ++interim_answers_;
        std::string const behind{reader_.unconsumed()};
        reader_ = http_reader{role_, bounds_};
        reader_.append(behind);
    }
    return progress();
}

read_progress answer_reader::append_eof()
{
    reader_.append_eof();
    return progress();
}

read_progress answer_reader::progress() const noexcept
{
    return has_interim_answer() ? read_progress::malformed : reader_.progress();
}

bool answer_reader::has_interim_answer() const noexcept
{
    return reader_.progress() == read_progress::complete &&
           kind_of_status(reader_.head().status) == status_kind::interim;
}

bool answer_reader::has_too_many() const noexcept
{
    return interim_answers_ == max_interim_answers;
}

} // namespace plumdale::protocol
