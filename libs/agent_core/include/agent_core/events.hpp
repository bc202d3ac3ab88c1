#ifndef FOXTAILVALE_AGENT_CORE_EVENTS_HPP
#define FOXTAILVALE_AGENT_CORE_EVENTS_HPP

#include <base/ids.hpp>

#include <core/messages.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtailvale::agent_core
{

// A piece of the endpoint's answer to an attempt; the last one ends it.
struct attempt_output
{
    base::attempt_id attempt;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    bool last = false;
    // Set when the endpoint broke off the attempt.
    std::optional<base::error> failure;
};

// State of the endpoint as returned by a status poll.
struct endpoint_report
{
    // False when the endpoint did not answer the poll.
    bool reachable = false;
    std::string instance;
    bool cold = false;
    struct loaded_model
    {
        std::string model;
        std::string digest;
    };
    std::vector<loaded_model> loaded;
    // When the poll was sent; later changes are not included.
    base::time_point asked;
};

// The engine answered an order, or the order failed.
struct order_answered
{
    std::uint64_t order = 0;
    std::optional<base::error> failure;
};

// Result of fetching a manifest from the origin.
struct origin_manifest
{
    std::string digest;
    std::string text;
    std::optional<base::error> failure;
};

// Result of fetching a chunk from the origin.
struct origin_chunk
{
    std::string digest;
    std::uint32_t index = 0;
    std::string bytes;
    std::optional<base::error> failure;
};

using event = std::variant<
    core::message_received,
    core::send_failed,
    core::tick,
    core::stop_requested,
    attempt_output,
    endpoint_report,
    order_answered,
    origin_manifest,
    origin_chunk>;

// Runs an attempt on the endpoint.
struct start_attempt
{
    base::attempt_id attempt;
    wire::Run run;
};

// Cancels a running attempt because its answer is no longer needed.
struct stop_attempt
{
    base::attempt_id attempt;
};

struct fetch_manifest
{
    std::string digest;
};

struct fetch_chunk
{
    std::string digest;
    std::uint32_t index = 0;
};

enum class order_kind
{
    load,
    unload,
};

// Orders the engine to load or unload a version; the answer carries the same
// order number.
struct order_engine
{
    std::uint64_t order = 0;
    order_kind kind = order_kind::load;
    std::string model;
    std::string digest;
    std::uint64_t fencing = 0;
};

using action = std::variant<
    core::send_message,
    core::connect_peer,
    core::disconnect_peer,
    core::write_log,
    core::report_error,
    core::count_retry,
    core::count_metric,
    core::stop_finished,
    start_attempt,
    stop_attempt,
    fetch_manifest,
    fetch_chunk,
    order_engine>;

} // namespace foxtailvale::agent_core

#endif
