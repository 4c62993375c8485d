#include <plumdale/coordination/content_store.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace plumdale::coordination
{
namespace
{

[[nodiscard]] std::uint64_t digest_of(state::content_ref const& ref) noexcept
{
    return state::mix(state::mix(ref.key.value, ref.revision), ref.hash);
}

[[nodiscard]] std::uint64_t hash_of(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < sizeof(hash); ++i)
    {
        hash = (hash << 8U) | bytes[i];
    }
    return hash;
}

} // namespace

state::content_ref make_ref(std::string_view key, std::uint64_t revision, std::string const* text)
{
    return {state::id_from_name<state::content_key>(key), revision,
            text == nullptr ? 0 : hash_of(*text)};
}

bool content_store::put(content_item item)
{
    auto const at = items_.find(item.ref.key);
    if (at == items_.end())
    {
        if (items_.size() >= capacity)
        {
            return false;
        }
        digest_ ^= digest_of(item.ref);
        items_.emplace(item.ref.key, std::move(item));
        return true;
    }
    if (item.ref <= at->second.ref)
    {
        return false;
    }
    digest_ ^= digest_of(at->second.ref) ^ digest_of(item.ref);
    at->second = std::move(item);
    return true;
}

content_item const* content_store::find(state::content_key key) const noexcept
{
    auto const at = items_.find(key);
    return at == items_.end() ? nullptr : &at->second;
}

state::preset const* content_store::find_preset(state::preset_id id) const noexcept
{
    for (auto const& [key, item] : items_)
    {
        auto const* const preset = std::get_if<state::preset>(&item.value);
        if (preset != nullptr && state::id_from_name<state::preset_id>(preset->name) == id)
        {
            return preset;
        }
    }
    return nullptr;
}

std::vector<state::customer> const* content_store::customers() const noexcept
{
    content_item const* const item = find(state::id_from_name<state::content_key>("customers"));
    return item == nullptr ? nullptr : std::get_if<std::vector<state::customer>>(&item->value);
}

std::vector<state::operator_account> const* content_store::operators() const noexcept
{
    content_item const* const item = find(state::id_from_name<state::content_key>("operators"));
    return item == nullptr ? nullptr
                           : std::get_if<std::vector<state::operator_account>>(&item->value);
}

state::operator_account const*
content_store::find_operator(state::sha256_digest const& key) const noexcept
{
    auto const* const accounts = operators();
    state::operator_account const* match = nullptr;
    if (accounts != nullptr)
    {
        for (state::operator_account const& each : *accounts)
        {
            if (CRYPTO_memcmp(each.key.data(), key.data(), key.size()) == 0)
            {
                match = &each;
            }
        }
    }
    return match;
}

std::vector<state::preset> content_store::presets() const
{
    std::vector<state::preset> result;
    for (auto const& [key, item] : items_)
    {
        if (auto const* const preset = std::get_if<state::preset>(&item.value))
        {
            result.push_back(*preset);
        }
    }
    std::sort(result.begin(), result.end(),
              [](state::preset const& a, state::preset const& b) { return a.name < b.name; });
    return result;
}

std::vector<state::content_ref> content_store::refs(std::size_t index, std::size_t count) const
{
    std::vector<state::content_ref> result;
    if (items_.empty())
    {
        return result;
    }
    auto at = std::next(items_.begin(), static_cast<std::ptrdiff_t>(index % items_.size()));
    while (result.size() < std::min(count, items_.size()))
    {
        result.push_back(at->second.ref);
        ++at;
        if (at == items_.end())
        {
            at = items_.begin();
        }
    }
    return result;
}

} // namespace plumdale::coordination
