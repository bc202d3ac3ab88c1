#ifndef FOXTAILVALE_NODE_CALLER_SERVER_HPP
#define FOXTAILVALE_NODE_CALLER_SERVER_HPP

#include <entry_core/events.hpp>
#include <node/event_loop.hpp>
#include <release/settings.hpp>

#include <http/parking_server.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
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

    // Stops listening and waits until the responses in progress are written to
    // the last byte; returns false on timeout. Must not be called on the loop's
    // thread, which delivers the responses.
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
    void answer_models(Poco::Net::HTTPServerResponse& response);
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
    std::map<entry_core::caller_handle, std::shared_ptr<caller_session>>
        sessions;
    entry_core::caller_handle last_caller = 0;
    std::unique_ptr<http::parking_server> listener;
};

} // namespace foxtailvale::node

#endif
