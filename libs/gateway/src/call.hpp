#ifndef FOXTAILVALE_GATEWAY_CALL_HPP
#define FOXTAILVALE_GATEWAY_CALL_HPP

#include <direct/attempt_limit.hpp>
#include <direct/placement.hpp>
#include <direct/retry.hpp>
#include <gateway/entry_context.hpp>
#include <gateway/event_splitter.hpp>
#include <kernel/events.hpp>
#include <net/client_connection.hpp>
#include <net/http_server.hpp>
#include <platform/requests.hpp>

#include <boost/asio/steady_timer.hpp>
#include <scheduling/admission.hpp>

#include <utility>

namespace foxtailvale::gateway
{

// Time allowed for opening a connection to an endpoint. Within a machine or a
// region one opens within milliseconds; a lost SYN packet is sent again after a
// second. A connection that took longer to open is not written to: after a
// pause of the process the opened connection is seen before any received
// update, and what was decided before the pause may no longer hold.
inline constexpr std::chrono::milliseconds connect_limit{400};

// A retry that the retry budget granted, until its outcome is known.
struct granted_retry
{
    base::time_point granted;
    direct::retry_source source = direct::retry_source::recent_requests;
    // The budget before it.
    direct::retry_budget_state budget;
};

// Why an attempt is taken for not run.
enum class not_run_ground
{
    // Its endpoint says so.
    declined,
    // No byte of the request was written.
    not_written,
    // The request was kept back when the connection was ready for it.
    withheld,
};

// One attempt to run a request at an endpoint.
struct endpoint_attempt
{
    // Counts the attempts of the request.
    std::uint64_t number = 0;
    std::string endpoint;
    std::string address;
    std::shared_ptr<net::client_connection> connection;
    direct::attempt_facts facts;
    net::response_head head;
    platform::endpoint_head parsed;
    std::string body;
    event_splitter events;
    // When the first bytes of the last event came.
    base::time_point event_began;
    // Size of the two above as it counts in the sum over all answers.
    std::size_t held_bytes = 0;
    bool is_stream = false;
    base::time_point endpoint_deadline;
    // The retry of the budget that it uses, while that is not known to have
    // arrived.
    std::optional<granted_retry> retry;
    // When the request's bytes were passed to the connection.
    std::optional<base::time_point> dispatched;
    // The endpoint answered, or its connection ended by itself: no byte of the
    // request is held on the way any more.
    bool is_over = false;
    // Its answer is not read until the caller has read what it was sent.
    bool waits_for_caller = false;
    // Number of events that the endpoint sent, and of those that were forwarded
    // to the caller.
    std::uint32_t events_seen = 0;
    std::uint32_t events_sent = 0;
    base::time_point begun;
    // The time of `begun` on the boot clock, which continues while the machine
    // is suspended.
    base::boot_time decided;
    base::time_point last_byte;
    base::time_point last_event;
};

// Whether the answer is a stream that ends inside an event, or with its
// connection before the first one.
bool is_broken_off(endpoint_attempt const& ended);

// Expected and actual timing of the last attempt. Outlives the attempt, as the
// result is logged afterwards.
struct attempt_observation
{
    direct::placement_estimate expected;
    base::time_point sent;
    // When the first event arrived, and how long that was before the version's
    // retirement as known then.
    std::optional<base::time_point> begun;
    std::optional<base::duration> before_end;
};

// An attempt whose stream has fallen silent, kept while the stream is resumed
// at another endpoint. The first of both that sends an event continues the
// answer. Failure: a stream was given up for a place at another endpoint that
// turned out to be full, and its caller lost what the first endpoint was about
// to send.
struct silent_attempt
{
    endpoint_attempt attempt;
    std::optional<attempt_observation> observation;
};

// What ranked admission needs to know of a request.
struct ranked_request
{
    scheduling::waiting_request waiting;
    std::uint32_t rank = 0;
    std::string workspace;
    scheduling::workspace_key key = 0;
    std::chrono::microseconds cost{0};
    scheduling::admission_level level;
    // Its start has been counted and charged.
    bool is_started = false;
};

// What has become of a request so far.
enum class call_state
{
    // No endpoint has it.
    waiting,
    // An endpoint has it and its answer has not begun.
    sent,
    // The caller has a part of its answer.
    answering,
};

// One request of a caller from arrival to answer: admitted, placed or queued,
// sent to an endpoint and answered. The object stays alive while it is queued
// or running or its timer is set.
class call : public std::enable_shared_from_this<call>
{
public:
    call(
        std::shared_ptr<entry_context> shared,
        std::shared_ptr<net::server_session> caller,
        net::request received);
    ~call();
    call(call const&) = delete;
    call& operator=(call const&) = delete;

    void start();

    // Tries to place the queued request; returns false when there is still no
    // capacity.
    bool try_waiting();

    call_state state() const;

    // Refuses the request if it has not been sent to an endpoint and its answer
    // would not end before the process does.
    void refuse_if_too_late();

    // Ends the request with its process: refuses it if it did not run, fails it
    // if it may have, or aborts its answer.
    void end_by_stop();

private:
    // Checks permission, service, suspects and deadline. Answers with a refusal
    // and returns false when one of them rules the request out.
    bool admit();
    // Checks the permission again if the configuration changed since the last
    // check, and takes over its regions and stricter limits of attempts.
    // Failure: a key was withdrawn while a request waited, and the permission
    // from its arrival let it run seconds later.
    bool is_still_allowed();
    // Fails a request that a later configuration does not allow.
    void fail_as_forbidden();
    // Whether the request, or a part of its prompt, crashed too many endpoints,
    // as is known now, and this attempt is no probe. Asked before each attempt.
    bool is_suspect() const;
    // Makes the request the probe of its suspect parts, if one is due at this
    // entry.
    void probe_if_due();
    // Records what the endpoint's answer tells of crashes of endpoints.
    void note_answer(unsigned status);
    // The same for an answer that ended with its connection. An endpoint that
    // ends may close its connections in order, so that only its survival shows
    // that the answer was complete.
    void note_uncertain_answer(
        request::request_prints const& answered, base::time_point now);
    // Whether the request was refused before, longer ago than its goal.
    bool has_goal_expired(std::chrono::milliseconds goal) const;
    bool has_queue() const;
    // Lets a request that returns at a promised time wait longer and before
    // others of its rank.
    void claim_return();
    // Whether new requests go first, as this one can no longer be answered
    // within its goal. A kept return does not yield.
    bool yields_to_new_requests() const;
    // Retry-After of a refusal for lack of capacity: a promised time if there
    // is a place, else a random one.
    std::chrono::milliseconds promised_retry_after();
    // Counts the request and its cost where ranked admission is in force.
    void begin_ranked();
    scheduling::admission_view admission_view() const;
    // Refuses the request if its level does, and returns false then.
    bool admit_ranked();
    // Whether a request of a higher rank or precedence waits.
    bool yields_to_ranked() const;
    void wait_ranked();
    void leave_ranked();
    // Charges the request's start to its workspace, if it is the first.
    void note_ranked_start();
    void note_ranked_refusal(base::error_kind kind);
    // Updates the route's usual size of answers.
    void note_answer_size() const;
    void add_admission(nlohmann::json& fields) const;
    // Sends the request to an endpoint or refuses it. Returns false when it
    // should wait for capacity, which `may_wait` allows.
    bool place(bool may_wait);
    direct::placement_query placement() const;
    void wait();
    void leave_queue();
    // Refuses the request because it has waited for the longest time allowed.
    void end_wait();
    void send(direct::choice const& chosen);
    // Returns the bytes for the attempt's endpoint, with the time that is left
    // now; nothing when the time is up or the connection took too long to open.
    std::optional<net::outgoing_request> dispatch(std::uint64_t number);
    net::head_verdict
    on_head(std::uint64_t number, net::response_head const& head);
    void on_data(std::uint64_t number, std::string_view data);
    // Counts the bytes that the attempt holds. Returns false if they are too
    // many.
    bool count_held_bytes();
    // Ends an attempt whose bytes are no answer and counts its endpoint as
    // faulty.
    void give_up_answer(base::ran_state ran, char const* reason);
    // Forwards complete events that the caller has not received yet.
    void on_events(std::string_view data);
    // Records the expected timing of an attempt, and logs it for one on an
    // older version.
    void note_placed(direct::choice const& chosen);
    // Records the prompt of an attempt at an engine.
    void note_prompt_sent(base::time_point now);
    // Records the first event of an attempt.
    void note_first_event();
    // Logs the end of a long pause of a stream.
    void log_pause(std::chrono::milliseconds pause) const;
    // Adds fields with when the last attempt was sent, how long ago its
    // endpoint and the agent beside it last sent anything, and what the agent
    // reported.
    void add_endpoint_state(nlohmann::json& fields) const;
    // Adds fields with the actual timing of an attempt that note_placed()
    // logged.
    void add_first_event(nlohmann::json& fields) const;
    // Records that an event is forwarded to the caller.
    void note_event();
    // Stops reading the endpoint's answer while the caller does not read what
    // it was sent.
    void pause_for_slow_caller();
    void on_end(std::uint64_t number, net::exchange_result const& result);
    // Whose answer it is.
    direct::answer_owner owner_of(platform::endpoint_head const& answer) const;
    bool is_current(std::uint64_t number) const;
    void end_attempt(direct::request_outcome how);
    // Frees the attempt's place at its endpoint.
    void release(endpoint_attempt const& ended, direct::request_outcome how);
    // If a stream is to be resumed elsewhere and another endpoint has room,
    // sends it there, keeps the silent attempt and returns true.
    bool resume_elsewhere(base::time_point now);
    bool is_silent(std::uint64_t number) const;
    // Ends the current attempt, if any, and continues with the silent one.
    void return_to_silent();
    // Ends the silent attempt, if any.
    void end_silent(direct::request_outcome how);
    // Handles the end of the silent attempt's exchange. Returns false if the
    // exchange is another one or has ended the answer.
    bool ends_silent(std::uint64_t number, net::exchange_result const& result);
    // Records a lost answer and checks whether the endpoint is still reachable.
    // It counts however much of the answer came: a request may crash its
    // endpoint at any moment of its run.
    void note_lost_answer(endpoint_attempt const& ended);
    // Logs and counts on what grounds an attempt is taken for not run.
    void note_not_run(
        endpoint_attempt const& ended,
        net::exchange_result const& result,
        not_run_ground ground) const;
    // Logs where a request is sent that was sent before.
    void log_sent_again(bool is_reused) const;
    // Logs and counts an answer to another request.
    void note_skipped(
        endpoint_attempt const& asked,
        platform::endpoint_head const& answer) const;
    // Continues with the silent attempt if there is one. Otherwise sends the
    // request again if that is allowed, or fails it.
    void after_failure(base::ran_state ran, char const* reason);
    // The same after an attempt that was ended for its silence.
    void after_silence(base::ran_state ran);
    // Takes one retry out of the shared budget, unless the request has one that
    // it has not used; returns false if the budget is spent.
    bool spend_retry();
    // Records that the endpoint has the request, as it has answered.
    void note_retry_arrived(endpoint_attempt& running_attempt);
    // Whether the link or the endpoint holds an attempt that is given up
    // without any byte from there.
    bool is_held(endpoint_attempt const& ended) const;
    // Settles the retry that the attempt used, if any.
    void end_retry(endpoint_attempt const& ended);
    // Gives back a retry that no attempt has used.
    void return_unused_retry();
    // Logs and counts what became of a retry. `used` is its attempt, null if
    // none has used it.
    void note_settled(
        granted_retry const& settled,
        endpoint_attempt const* used,
        char const* outcome) const;
    // Exports the budget's state and whether it had one retry more.
    void note_budget(bool spent) const;
    // Adds fields with the budget's state before this request's last retry, if
    // it asked for one.
    void add_budget(nlohmann::json& fields) const;
    void answer();
    void begin_answer();
    void note_first_answer();
    // Answers with the error's status; for requests whose answer has not begun.
    void refuse(base::error_kind kind, char const* reason);
    // Refuses the request, or aborts its answer if that has begun.
    void fail(base::error_kind kind, char const* reason);
    // Aborts an answer that has begun.
    void cut_answer(base::error_kind kind, char const* reason);
    // Whether the process is told to stop and would end before the answer.
    bool is_too_late() const;
    // Updates the longest time that requests of the route take with one that an
    // endpoint worked on. Those that are broken off, or whose caller leaves,
    // count as well: without them, overloaded endpoints would seem fast.
    void note_answer_time() const;
    // Fails a request that is_too_late() rules out.
    void fail_for_stop();
    void finish();
    void on_caller_gone();
    void set_timer();
    // Time by which the current attempt is to be looked at again.
    base::time_point next_check() const;
    void on_timer();
    void end_at_deadline(base::time_point now);
    // Ends the attempt if one of its limits has passed; returns false if none
    // has.
    bool end_at_limit(base::time_point now);
    direct::attempt_progress progress() const;
    std::optional<base::time_point> attempt_limit() const;
    // Time by which the endpoint must have started the request; nothing when it
    // has, or when no limit applies.
    std::optional<base::time_point> start_limit() const;
    std::chrono::milliseconds time_left() const;
    std::chrono::milliseconds retry_after() const;
    // Retry-After of a refusal that does not hold for other entries.
    std::chrono::milliseconds retry_elsewhere_after() const;
    // When a suspect request may come back.
    std::chrono::milliseconds quarantine_left() const;
    void log(kernel::event_id event, base::error_kind kind, char const* reason)
        const;
    void log_answer(unsigned status) const;
    // Adds fields with the request's arrival and time against the process's
    // planned stop, and counts how the request ended, if the process is told to
    // stop.
    void note_stop(nlohmann::json& fields, char const* outcome) const;

    std::shared_ptr<entry_context> context;
    std::shared_ptr<net::server_session> session;
    net::request request;
    platform::caller_request parsed;
    std::shared_ptr<routing::configuration const> configuration;
    // The configuration against which permission was last checked.
    std::shared_ptr<routing::configuration const> checked_configuration;
    routing::permission allowed;
    // The strictest that any configuration said since the request's arrival.
    routing::retry_safety repeats = routing::retry_safety::non_idempotent;
    std::uint32_t most_attempts = 1;
    std::string service_name;
    routing::service const* service = nullptr;
    boost::asio::steady_timer timer;
    base::time_point arrived;
    // When the request was first sent to an endpoint, and when its answer
    // began.
    std::optional<base::time_point> first_sent;
    std::optional<base::time_point> first_answered;
    // When an event of any attempt was last forwarded.
    std::optional<base::time_point> last_forwarded;
    base::time_point deadline;
    base::time_point wait_until;
    // When the first endpoint has room, if at the last placement nothing but
    // their rate limits kept the request from all of them.
    std::optional<base::time_point> room_at;
    queue_position position_in_queue;
    bool is_queued = false;
    // Set where ranked admission is in force for the service.
    std::optional<ranked_request> ranked;
    // When the refused caller was told to return.
    std::optional<std::chrono::milliseconds> told_return;
    // The caller sent the request again after a refusal, and its goal has
    // passed since.
    bool goal_expired = false;
    // The caller returned after a refusal at the time it was told.
    bool kept_return = false;
    bool done = false;
    // The endpoint to which the request was last sent.
    std::string last_endpoint;
    std::optional<endpoint_attempt> current;
    std::optional<attempt_observation> observation;
    std::optional<silent_attempt> silent;
    std::uint64_t attempts = 0;
    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t runs = 0;
    base::ran_state ran_so_far = base::ran_state::no;
    // The head of the answer was sent to the caller.
    bool answer_begun = false;
    std::optional<std::uint64_t> last_event;
    // A granted retry that no attempt has used.
    std::optional<granted_retry> held_retry;
    // Number of attempts that were given up without any byte from the endpoint,
    // and by when all of these have arrived, if at all.
    std::uint32_t unseen_sends = 0;
    base::time_point unseen_until;
    // The same for those among them whose bytes the link or the endpoint held.
    std::uint32_t held_sends = 0;
    base::time_point held_until;
    // The retry budget when the request last asked for a retry.
    std::optional<direct::retry_budget_state> budget;
    std::uint64_t version = 0;
    // An answer had neither a length nor chunks and ended with its connection.
    bool answer_ended_with_connection = false;
    // Of target, key and body, and of the parts of the prompt.
    request::request_prints prints;
    // The request was let through to see whether a part of its prompt still
    // crashes endpoints. Its first attempt is not refused for that part.
    bool is_probe = false;
};

} // namespace foxtailvale::gateway

#endif
