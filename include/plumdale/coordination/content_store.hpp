#pragma once

#include <plumdale/state/content_ref.hpp>
#include <plumdale/state/customer.hpp>
#include <plumdale/state/operator_account.hpp>
#include <plumdale/state/preset.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Configuration values by key, each in the newest version seen.

namespace plumdale::coordination
{

using content_value =
    std::variant<state::preset, std::vector<state::customer>, std::vector<state::operator_account>>;

/// \brief One configuration value.
struct content_item
{
    state::content_ref ref;
    std::string key;
    std::shared_ptr<std::string const> text;
    content_value value;
};

/// \brief Returns the reference of a value: key, revision and a hash of `text` (zero if null).
[[nodiscard]] state::content_ref make_ref(std::string_view key, std::uint64_t revision,
                                          std::string const* text);

/// \brief Holds the newest version of each value; an older one never replaces it.
class content_store
{
public:
    /// \brief Maximum number of values; further keys are dropped.
    static constexpr std::size_t capacity = 512;

    /// \brief Stores the item if it is newer than the version held; returns whether it was stored.
    bool put(content_item item);

    [[nodiscard]] content_item const* find(state::content_key key) const noexcept;
    [[nodiscard]] state::preset const* find_preset(state::preset_id id) const noexcept;
    [[nodiscard]] std::vector<state::customer> const* customers() const noexcept;
    [[nodiscard]] std::vector<state::operator_account> const* operators() const noexcept;
    [[nodiscard]] state::operator_account const*
    find_operator(state::sha256_digest const& key) const noexcept;
    /// \brief Returns the presets held, sorted by name.
    [[nodiscard]] std::vector<state::preset> presets() const;
    /// \brief Returns up to `count` references, starting at `index` and wrapping round at the end.
    [[nodiscard]] std::vector<state::content_ref> refs(std::size_t index, std::size_t count) const;
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    std::map<state::content_key, content_item> items_;
    std::uint64_t digest_ = 0;
};

} // namespace plumdale::coordination
