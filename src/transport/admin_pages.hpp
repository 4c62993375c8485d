#pragma once

#include "caller_session.hpp"
#include "control_runner.hpp"

#include <plumdale/coordination/entry_node.hpp>
#include <plumdale/protocol/settings.hpp>

#include <memory>
#include <span>
#include <string_view>

/// \file
/// \brief Health, metrics and operators' pages.

namespace plumdale::transport
{

/// \brief Answers `/health`, `/metrics` and `/admin/…`; any thread may call.
class admin_pages
{
public:
    admin_pages(coordination::entry_node& node, protocol::daemon_settings const& settings,
                control_runner& control, std::span<std::unique_ptr<worker> const> workers);

    /// \brief Returns false when the path isn't a page.
    [[nodiscard]] bool handle(page_request const& request, page_callback const& answer);

private:
    using page_member = void (admin_pages::*)(page_request const&, page_callback const&);

    struct row
    {
        std::string_view method;
        std::string_view path;
        page_member serve;
        bool operator_only;
    };

    static row const* find(page_request const& request);
    [[nodiscard]] bool is_operator(page_request const& request) const;

    void health(page_request const& request, page_callback const& answer);
    void metrics(page_request const& request, page_callback const& answer);
    void status(page_request const& request, page_callback const& answer);
    void preset(page_request const& request, page_callback const& answer);
    void switch_preset(page_request const& request, page_callback const& answer);
    void drain(page_request const& request, page_callback const& answer);
    void error_budgets(page_request const& request, page_callback const& answer);

    using samples_handler = std::function<void(std::span<worker_sample const>)>;
    void collect(samples_handler handler);

    coordination::entry_node& node_;
    protocol::daemon_settings const& settings_;
    control_runner& control_;
    std::span<std::unique_ptr<worker> const> workers_;
};

} // namespace plumdale::transport
