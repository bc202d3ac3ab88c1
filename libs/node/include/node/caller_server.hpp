#ifndef FOXTAILVALE_NODE_CALLER_SERVER_HPP
#define FOXTAILVALE_NODE_CALLER_SERVER_HPP

#include <entry_core/events.hpp>
#include <node/event_loop.hpp>
#include <release/settings.hpp>

#include <http/parking_server.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace foxtailvale::node
{

class caller_session;

// HTTP server for callers. Reads each request completely, passes it to the core
// as an event and writes what the core answers.
class caller_server
{
public:
    using handler = std::function<void(entry_core::event)>;
    // Produces the body of /v1/models on the loop's thread, from the
    // configuration in force.
    using model_list = std::function<std::string()>;
    // Called on the loop's thread for a request that was refused before the
    // core saw it, with the caller's IP.
    using fault_handler = std::function<void(base::error, std::string)>;

    caller_server(
        event_loop& loop,
        release::entry_settings const& settings,
        handler receive,
        fault_handler report,
        model_list models);
    ~caller_server();

    // From now on each response tells its caller that the connection closes.
    void announce_close();

    // Stops listening and waits until the responses in progress are written to
    // the last byte. On timeout it returns false, and each request that is left
    // has a line in the log: those that have no answer are told that they may
    // have run, and requests read later are refused. Must not be called on the
    // loop's thread, which delivers the responses.
    bool drain(std::chrono::milliseconds max_wait);

    // Passes the core's answer to the caller. Called on the loop's thread.
    void deliver(entry_core::reply reply);
    void deliver(entry_core::refuse refusal);

private:
    void answer(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);
    // Refuses a request that cannot be passed to the core.
    void refuse(
        Poco::Net::HTTPServerResponse& response,
        base::error const& error,
        std::string const& caller);
    void answer_models(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);
    // Ends the requests that wait for the core.
    void end_sessions();
    // Returns nothing when the core gets no further requests.
    std::optional<entry_core::caller_handle>
    open_session(std::shared_ptr<caller_session> const& session);
    void run_session(
        entry_core::caller_request incoming,
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);
    template <class Item>
    void push(Item item);
    std::shared_ptr<caller_session> find(entry_core::caller_handle caller);

    event_loop& loop;
    release::entry_settings settings;
    handler receiver;
    fault_handler reporter;
    model_list models;
    std::mutex mutex;
    // Set under the lock: the core gets no further requests.
    std::atomic<bool> closed{false};
    std::map<entry_core::caller_handle, std::shared_ptr<caller_session>>
        sessions;
    entry_core::caller_handle last_caller = 0;
    std::shared_ptr<http::request_ledger> ledger;
    std::unique_ptr<http::parking_server> listener;
};

} // namespace foxtailvale::node

#endif
