#ifndef FOXTAILVALE_ENTRY_CORE_EVENTS_HPP
#define FOXTAILVALE_ENTRY_CORE_EVENTS_HPP

#include <base/ids.hpp>

#include <core/messages.hpp>
#include <core/platform.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace foxtailvale::entry_core
{

// Identifies a caller's connection within this entry.
using caller_handle = std::uint64_t;

// A caller's request with its complete body.
struct caller_request
{
    caller_handle caller = 0;
    std::string request_id;
    std::string workspace;
    // Exactly one of model and service is set.
    std::string model;
    std::string service;
    std::string method;
    // Path at the endpoint.
    std::string path;
    std::string content_type;
    std::string body;
    bool stream = false;
    // Whether the request may run more than once without harm; set by the core.
    bool idempotent = false;
    std::string idempotency_key;
    std::uint32_t priority = 0;
    // Hash of the prompt's prefix; zero when there is none.
    std::uint64_t prefix = 0;
    // Time until the deadline.
    std::chrono::milliseconds time_left{0};
};

// The caller closed its connection.
struct caller_disconnected
{
    caller_handle caller = 0;
};

// An operator allows a suspect request to run again.
struct release_suspect
{
    std::uint64_t fingerprint = 0;
};

using event = std::variant<
    core::message_received,
    core::send_failed,
    core::tick,
    core::stop_requested,
    core::platform_answer,
    caller_request,
    caller_disconnected,
    release_suspect>;

// A piece of the answer to a caller.
struct reply
{
    caller_handle caller = 0;
    // Status, content type, generation and digest are set in the first piece
    // only.
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    bool last = false;
    std::uint64_t generation = 0;
    std::string digest;
};

// The request ended with an error. It becomes the complete answer if no piece
// was sent before, otherwise the stream's error event.
struct refuse
{
    caller_handle caller = 0;
    base::error error;
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
    core::platform_call,
    reply,
    refuse>;

} // namespace foxtailvale::entry_core

#endif
