#ifndef FOXTAILVALE_HTTP_PARKING_SERVER_HPP
#define FOXTAILVALE_HTTP_PARKING_SERVER_HPP

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <http/http_server.hpp>
#include <http/request_ledger.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace foxtailvale::http
{

struct parking_options
{
    std::string address;
    std::uint16_t port = 0;
    // Limit of requests handled at once; each holds a thread from its first
    // byte to the last byte of its response.
    std::size_t max_workers = 1024;
    // Limit of open connections; for a further one, the longest idle one is
    // closed. No more than half of the descriptors that the system allows.
    std::size_t max_connections = 16'384;
    // Longest wait for a byte from a caller in the middle of a request, or for
    // a slow reader to accept one.
    std::chrono::milliseconds stall_limit{10'000};
    // An idle connection is closed after this long.
    std::chrono::milliseconds idle_limit{300'000};
    // What all requests may hold; without a limit if it is not set.
    std::shared_ptr<request_ledger> ledger;
};

// One caller's connection, kept alive between requests.
class parked_connection;

// An HTTP server whose idle connections hold no thread. For thousands of
// callers that keep their connections open and send a request now and then:
// with a thread for each, the idle ones would take the threads that the active
// ones need. Idle connections wait in a poll set and are passed to a worker
// when a request begins; POCO's own session and request classes do the rest.
class parking_server
{
public:
    parking_server(
        parking_options const& options,
        server_handler handler,
        bad_head_handler bad_head = {});
    ~parking_server();
    parking_server(parking_server const&) = delete;
    parking_server& operator=(parking_server const&) = delete;

    // From now on each answer tells its caller that the connection closes.
    // Connections and requests are accepted as before. Safe from any thread.
    void announce_close();

    // Stops listening and waits until the requests in progress are answered and
    // each kept connection has sent its next request or been idle for a while;
    // returns false on timeout. Requests are still answered then, until the
    // server's end.
    bool drain(std::chrono::milliseconds max_wait);

    // Addresses, with the port, of the callers whose request is being read or
    // answered.
    std::vector<std::string> busy_callers();

private:
    using connection = std::shared_ptr<parked_connection>;

    void poll_loop();
    void accept();
    void close_idle();
    void on_readable(Poco::Net::Socket const& socket);
    // Queues a connection for a worker; the caller holds the lock.
    void give_to_worker(connection active);
    void stop_listening();
    void close_drained();
    void abort();
    void park(connection const& idle);
    // Closes the connection that has been idle for the longest time; returns
    // false if all have a request.
    bool close_longest_idle();
    // Ends requests that hold their workers while others wait for one.
    void free_workers();
    void work_loop();
    void serve(connection const& active);

    parking_options options;
    server_handler handler;
    bad_head_handler bad_head;
    Poco::Net::HTTPServerParams::Ptr parameters;
    Poco::Net::ServerSocket listener;
    Poco::Net::PollSet polled;
    std::mutex mutex;
    std::condition_variable ready;
    std::map<Poco::Net::Socket, connection> parked;
    std::deque<connection> waiting;
    std::vector<std::thread> workers;
    std::size_t idle_workers = 0;
    // Connections that a worker handles.
    std::set<connection> busy;
    std::condition_variable finished;
    // Answers end their connections.
    std::atomic<bool> closing{false};
    std::atomic<bool> draining{false};
    std::chrono::steady_clock::time_point drain_began;
    // Set by the poller's thread only.
    bool listening = true;
    std::atomic<std::size_t> open_connections{0};
    std::atomic<bool> stopping{false};
    std::thread poller;
};

// Whether the caller has closed its connection while its answer is awaited.
bool is_closed_by_peer(Poco::Net::HTTPServerRequest& request);

} // namespace foxtailvale::http

#endif
