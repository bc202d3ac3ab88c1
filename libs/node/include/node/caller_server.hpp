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

// HTTP towards callers. Reads a request whole, hands it to the core as an
// event and writes what the core answers.
class caller_server
{
public:
    using handler = std::function<void(entry_core::event)>;
    // Body of /v1/models, made on the loop's thread from what is in force.
    using model_list = std::function<std::string()>;
    // Hears, on the loop's thread, of a request that was refused before the
    // core saw it, with the caller's IP.
    using fault_handler = std::function<void(base::error, std::string)>;

    caller_server(
        event_loop& loop,
        release::entry_settings const& settings,
        handler receive,
        fault_handler report,
        model_list models);
    ~caller_server();

    // Stops listening and waits until the answers under way are written to
    // the last byte; false when the time is over first. Not from the loop's
    // thread, which hands over the answers.
    bool drain(std::chrono::milliseconds most);

    // From the loop's thread: what the core answered.
    void deliver(entry_core::reply reply);
    void deliver(entry_core::refuse refusal);

private:
    void answer(
        Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response);
    // Refuses a request that cannot be handed to the core.
    void refuse(
        Poco::Net::HTTPServerResponse& response,
        base::error const& error,
        std::string const& caller);
    void answer_models(Poco::Net::HTTPServerResponse& response);
    void run_session(
        entry_core::caller_request asked,
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
