#ifndef FOXTAILVALE_GATEWAY_WEIGHTS_DOOR_HPP
#define FOXTAILVALE_GATEWAY_WEIGHTS_DOOR_HPP

#include "agent_context.hpp"

#include <net/http_server.hpp>
#include <weights/send_window.hpp>

#include <list>

namespace foxtailvale::gateway
{

// Requests between agents for a version's manifest and chunks. An agent first
// asks whether a chunk is there, which is answered when it has come, and then
// fetches it when its own link has room: a question in wait fills no link.
net::request
peer_manifest_request(std::string const& model, std::uint64_t version);
net::request peer_chunk_question(
    std::string const& model,
    std::uint64_t version,
    std::uint32_t index,
    std::size_t behind);
net::request peer_chunk_request(
    std::string const& model, std::uint64_t version, std::uint32_t index);

// Asks whether the agent takes part in the version's transfer; answered at
// once.
net::request
peer_check_request(std::string const& model, std::uint64_t version);

// Statuses that the door answers with, beside 200.
inline constexpr unsigned weights_ready = 204;
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

    // Ends what is sent to receivers that no longer take it.
    void end_stuck();

    void stop();

private:
    enum class asked_kind
    {
        manifest,
        question,
        chunk,
        check,
    };
    struct asked_path
    {
        std::string model;
        std::uint64_t version = 0;
        asked_kind kind = asked_kind::chunk;
        std::uint32_t index = 0;
    };
    struct asked_part
    {
        std::shared_ptr<net::server_session> session;
        std::uint64_t version = 0;
        asked_kind kind = asked_kind::chunk;
        std::uint32_t index = 0;
        base::time_point until;
        // Agents that wait behind the one who asks; a request for bytes that
        // were promised goes before all questions.
        std::size_t behind = 0;
    };

    struct running_send
    {
        std::weak_ptr<net::server_session> session;
        base::time_point until;
    };

    static std::optional<asked_path> read_path(std::string_view target);
    void take(
        std::shared_ptr<net::server_session> const& session,
        net::request const& asked);
    // Puts a request in its place: those first behind whom most wait.
    void line_up(asked_part const& asked);
    // Whether the version's manifest is held.
    bool participates_in_transfer(std::uint64_t version) const;
    bool can_answer(asked_part const& asked) const;
    void answer(asked_part const& asked);
    // Whether one more chunk may be promised to whoever asks for it.
    bool has_room() const;
    std::string holdings(std::uint64_t version) const;
    void pace(std::size_t bytes, base::time_point now);

    std::shared_ptr<agent_context> context;
    std::shared_ptr<net::http_server> server;
    std::list<asked_part> waiting;
    std::list<running_send> sends;
    weights::send_window line;
    // No chunk is sent before then.
    base::time_point next_send;
    boost::asio::steady_timer timer;
};

} // namespace foxtailvale::gateway

#endif
