#pragma once

#include <cstdint>

/// \file
/// \brief Forward declarations of the state layer.

namespace plumdale::state
{

enum class engine_role : std::uint8_t;
enum class error_kind : std::uint8_t;
enum class member_health : std::uint8_t;
enum class merge_result : std::uint8_t;
enum class operation : std::uint8_t;
enum class run_claim : std::uint8_t;
enum class upstream_kind : std::uint8_t;
enum class work_kind : std::uint8_t;
class member_table;
struct cold_limits;
struct content_ref;
struct customer;
struct endpoint;
struct engine_assignment;
struct engine_order;
struct error_answer;
struct evacuation;
struct evacuation_change;
struct evacuations;
struct failure;
struct generation_id;
struct injected_clock;
struct load_report;
struct member;
struct member_entry;
struct operator_account;
struct preset;
struct preset_stamp;
struct request;
struct upstream;
template <class Tag>
struct identifier;

} // namespace plumdale::state
