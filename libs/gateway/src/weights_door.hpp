#ifndef FOXTAILVALE_GATEWAY_WEIGHTS_DOOR_HPP
#define FOXTAILVALE_GATEWAY_WEIGHTS_DOOR_HPP

#include "agent_context.hpp"

#include <net/http_server.hpp>

#include <list>

namespace foxtailvale::gateway
{

// Requests between agents for a version's manifest and chunks.
net::request
peer_manifest_request(std::string const& model, std::uint64_t version);
net::request peer_chunk_request(
    std::string const& model, std::uint64_t version, std::uint32_t index);

// Statuses that the door answers with, beside 200.
inline constexpr unsigned weights_missing = 404;
inline constexpr unsigned weights_not_yet = 503;

// Serves other agents what this one holds. A chunk that is under way here is
// waited for a moment, so that chunks pass through a row of agents without
// being asked for again and again.
class weights_door : public std::enable_shared_from_this<weights_door>
{
public:
    explicit weights_door(std::shared_ptr<agent_context> shared);

    // An error text when the address cannot be bound.
    std::optional<std::string> open();

    // Answers those that wait for what has come, and those that waited too
    // long.
    void serve_waiting();

    void stop();

private:
    struct asked_chunk
    {
        std::shared_ptr<net::server_session> session;
        std::string model;
        std::uint64_t version = 0;
        std::uint32_t index = 0;
        base::time_point until;
    };

    void take(
        std::shared_ptr<net::server_session> const& session,
        net::request const& asked);
    bool answer(asked_chunk const& asked);

    std::shared_ptr<agent_context> context;
    std::shared_ptr<net::http_server> server;
    std::list<asked_chunk> waiting;
};

} // namespace foxtailvale::gateway

#endif
