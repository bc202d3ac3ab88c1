#ifndef FOXTAILVALE_GATEWAY_PEER_WEIGHTS_SERVER_HPP
#define FOXTAILVALE_GATEWAY_PEER_WEIGHTS_SERVER_HPP

#include "agent_context.hpp"

#include <net/http_server.hpp>
#include <weights/send_window.hpp>

#include <list>

namespace foxtailvale::gateway
{

// Requests between agents for a version's manifest and chunks. An agent first
// sends a ready request for a chunk, which is answered when the chunk is held,
// and fetches the chunk once its own link has capacity: a ready request that
// waits uses no bandwidth.
net::request
peer_manifest_request(std::string const& model, std::uint64_t version);
net::request peer_chunk_ready_request(
    std::string const& model,
    std::uint64_t version,
    std::uint32_t index,
    std::size_t behind);
net::request peer_chunk_request(
    std::string const& model, std::uint64_t version, std::uint32_t index);

// Checks whether the peer takes part in the version's transfer. Answered at
// once.
net::request
peer_check_request(std::string const& model, std::uint64_t version);

// Statuses of this server's responses, in addition to 200.
inline constexpr unsigned weights_ready = 204;
inline constexpr unsigned weights_missing = 404;
inline constexpr unsigned weights_not_yet = 503;

// Serves the manifests and chunks that this agent holds to other agents. A
// request for a chunk that is still being received waits for a short time, so
// that chunks pass through a chain of agents without repeated requests.
class peer_weights_server
    : public std::enable_shared_from_this<peer_weights_server>
{
public:
    explicit peer_weights_server(std::shared_ptr<agent_context> shared);

    // Starts listening. Returns an error text when the address cannot be bound.
    std::optional<std::string> open();

    // Answers the pending requests that can be answered now, and those whose
    // wait has expired.
    void answer_pending();

    // Aborts transfers to receivers that have stopped reading.
    void abort_stalled_sends();

    void stop();

private:
    enum class request_kind
    {
        manifest,
        chunk_ready,
        chunk,
        check,
    };
    struct request_path
    {
        std::string model;
        std::uint64_t version = 0;
        request_kind kind = request_kind::chunk;
        std::uint32_t index = 0;
    };
    struct pending_request
    {
        std::shared_ptr<net::server_session> session;
        std::uint64_t version = 0;
        request_kind kind = request_kind::chunk;
        std::uint32_t index = 0;
        base::time_point until;
        // Number of agents that wait for the chunk behind the requester.
        // Requests for the bytes of chunks already promised take precedence
        // over all ready requests.
        std::size_t behind = 0;
    };

    struct active_send
    {
        std::weak_ptr<net::server_session> session;
        base::time_point until;
    };

    static std::optional<request_path> parse_path(std::string_view target);
    void on_request_received(
        std::shared_ptr<net::server_session> const& session,
        net::request const& asked);
    // Inserts the request into the queue, ordered by descending number of
    // agents behind the requester.
    void enqueue(pending_request const& asked);
    // Whether the version's manifest is held.
    bool has_manifest(std::uint64_t version) const;
    bool can_answer(pending_request const& asked) const;
    void answer(pending_request const& asked);
    // Whether one more chunk may be promised to a requester.
    bool can_promise() const;
    std::string holdings(std::uint64_t version) const;
    void schedule_next_send(std::size_t bytes, base::time_point now);

    std::shared_ptr<agent_context> context;
    std::shared_ptr<net::http_server> server;
    std::list<pending_request> pending;
    std::list<active_send> active_sends;
    weights::send_window send_queue;
    // Earliest time at which the next chunk may be sent.
    base::time_point next_send;
    boost::asio::steady_timer timer;
};

} // namespace foxtailvale::gateway

#endif
