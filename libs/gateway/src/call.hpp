#ifndef FOXTAILVALE_GATEWAY_CALL_HPP
#define FOXTAILVALE_GATEWAY_CALL_HPP

#include <direct/placement.hpp>
#include <direct/retry.hpp>
#include <gateway/entry_context.hpp>
#include <gateway/event_splitter.hpp>
#include <kernel/events.hpp>
#include <net/client_connection.hpp>
#include <net/http_server.hpp>
#include <platform/requests.hpp>

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace foxtailvale::gateway
{

// A connection on one machine or across a region opens within milliseconds; a
// lost opening packet is sent again after a second. One that took longer to
// open is not written to: after a pause of the process its opening is seen
// before any news, and what was decided before the pause may no longer hold.
inline constexpr std::chrono::milliseconds connect_limit{400};

// One attempt of a request at an endpoint.
struct endpoint_attempt
{
    std::string endpoint;
    std::string address;
    std::shared_ptr<net::client_connection> connection;
    direct::attempt_facts facts;
    net::response_head head;
    platform::endpoint_head said;
    std::string body;
    event_splitter events;
    bool is_stream = false;
    base::time_point endpoint_deadline;
    // Its bytes were given to the connection.
    bool is_handed_on = false;
    // Events of this attempt that were passed on.
    std::uint32_t events_sent = 0;
    base::time_point begun;
    // The same moment, on the clock that goes on while the machine is
    // suspended.
    base::boot_time decided;
    base::time_point last_byte;
    base::time_point last_event;
};

// What was expected of the last attempt, and what came of it. Outlives the
// attempt, as its end is told afterwards.
struct attempt_sight
{
    direct::placement_estimate expected;
    base::time_point sent;
    // When the first event came, and how long before the end of the version,
    // as known then.
    std::optional<base::time_point> begun;
    std::optional<base::duration> before_end;
};

// One request of a caller on its way through the entry: admitted, placed or
// waiting, sent to an endpoint, answered. Alive while it waits, runs or its
// timer is set.
class call : public std::enable_shared_from_this<call>
{
public:
    call(
        std::shared_ptr<entry_context> shared,
        std::shared_ptr<net::server_session> caller,
        net::request received);

    void start();

    // Tries to place the waiting request; false when there is still no room.
    bool try_waiting();

private:
    bool admit();
    // Looks again, where another configuration is in force than when it was
    // looked at last. Failure: a key was taken away while a request waited, and
    // the permission from its arrival let it be run seconds later.
    bool is_still_allowed();
    // It was refused before, so long ago that its goal is past.
    bool has_returned(std::chrono::milliseconds goal) const;
    bool has_line() const;
    bool place(bool may_wait);
    direct::placement_query placement() const;
    void wait();
    void leave_line();
    // It has waited for as long as it may.
    void end_waiting();
    void send(direct::choice const& chosen);
    // The bytes for the attempt's endpoint, with the time that is left now;
    // nothing when it is over or the connection took too long to open.
    std::optional<std::string> dispatch(std::uint64_t number);
    net::head_verdict
    on_head(std::uint64_t number, net::response_head const& head);
    void on_data(std::uint64_t number, std::string_view data);
    void on_events(std::string_view data);
    // Tells what is expected of a request that goes to an older version.
    void note_placed(direct::choice const& chosen);
    // Measures the beginning of an attempt by its first event.
    void note_begun();
    // Adds when the last attempt was sent, and how long ago its endpoint and
    // the agent beside it last showed life.
    void add_endpoint(nlohmann::json& fields) const;
    // Adds what came of an attempt that note_placed() told of.
    void add_beginning(nlohmann::json& fields) const;
    // Counts an event that is passed on.
    void note_event();
    void on_end(std::uint64_t number, net::exchange_result const& result);
    bool is_current(std::uint64_t number) const;
    void end_attempt(direct::request_outcome how);
    void note_lost_answer();
    void after_failure(base::ran_state ran, char const* reason);
    void answer();
    void begin_answer();
    void note_first_answer();
    void refuse(base::error_kind kind, char const* reason);
    void fail(base::error_kind kind, char const* reason);
    void cut(char const* reason);
    void finish();
    void on_caller_gone();
    void set_timer();
    void on_timer();
    // Whether the endpoint of the attempt sends to nobody any more.
    bool endpoint_is_lost() const;
    std::optional<base::time_point> attempt_limit() const;
    // Until when the attempt must have begun; nothing when it has, or may begin
    // at any time.
    std::optional<base::time_point> beginning_limit() const;
    std::chrono::milliseconds time_left() const;
    std::chrono::milliseconds retry_after() const;
    void log(kernel::event_id event, base::error_kind kind, char const* reason)
        const;
    void log_answer(unsigned status) const;

    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::server_session> session;
    net::request request;
    platform::caller_request said;
    std::shared_ptr<routing::configuration const> configuration;
    std::shared_ptr<routing::configuration const> looked_at;
    routing::permission allowed;
    std::string service_name;
    routing::service const* service = nullptr;
    boost::asio::steady_timer timer;
    base::time_point arrived;
    // When it was sent to an endpoint first, and when its answer began.
    std::optional<base::time_point> first_sent;
    std::optional<base::time_point> first_answered;
    // When an event was passed on last, of any attempt.
    std::optional<base::time_point> last_passed;
    base::time_point deadline;
    base::time_point wait_until;
    waiting_place place_in_line;
    bool in_line = false;
    // The caller has come back after a refusal and its goal is past.
    bool returned = false;
    bool done = false;
    // The endpoint that it was sent to last.
    std::string last_endpoint;
    std::optional<endpoint_attempt> current;
    std::optional<attempt_sight> sight;
    std::uint64_t attempt_number = 0;
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    base::ran_state ran_so_far = base::ran_state::no;
    // The answer's head has gone to the caller.
    bool answer_begun = false;
    std::optional<std::uint64_t> last_event;
    std::uint64_t version = 0;
    request::fingerprint print = 0;
};

} // namespace foxtailvale::gateway

#endif
