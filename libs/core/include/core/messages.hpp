#ifndef FOXTAILVALE_CORE_MESSAGES_HPP
#define FOXTAILVALE_CORE_MESSAGES_HPP

#include <base/error.hpp>
#include <kernel/events.hpp>
#include <proto/foxtailvale.pb.h>

#include <nlohmann/json.hpp>

#include <string>

// Events and actions shared by the state machines of the entry and the agent.
namespace foxtailvale::core
{

// A frame was received from a peer.
struct message_received
{
    std::string peer;
    wire::Envelope envelope;
};

// A frame could not be handed to the transport; the peer never received it.
struct send_failed
{
    std::string peer;
    wire::Envelope envelope;
};

// Periodic timer event, sent every few tens of milliseconds.
struct tick
{
};

// An orderly stop of the process was requested.
struct stop_requested
{
};

// Sends a frame; the I/O adapter fills in the sender and the incarnations.
struct send_message
{
    std::string peer;
    wire::Envelope envelope;
};

// Opens and maintains a connection to the peer at this address ("IP:PORT").
struct connect_peer
{
    std::string peer;
    std::string address;
};

struct disconnect_peer
{
    std::string peer;
};

// Writes a log event with its numeric id.
struct write_log
{
    kernel::event_id id;
    nlohmann::json fields;
};

// Logs an error and counts it under its reason.
struct report_error
{
    base::error error;
    nlohmann::json fields;
};

// Counts a retry under the reason for which the previous attempt failed.
struct count_retry
{
    base::error_kind reason;
};

// Adds to a counter; `name` is the full metric name.
struct count_metric
{
    std::string name;
    double amount = 1;
};

// The work in progress at an orderly stop has ended; the process may exit.
struct stop_finished
{
};

} // namespace foxtailvale::core

#endif
