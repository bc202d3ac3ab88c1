#ifndef FOXTAILVALE_NODE_EVENT_LOOP_HPP
#define FOXTAILVALE_NODE_EVENT_LOOP_HPP

#include <base/ids.hpp>

#include <zmq.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <vector>

namespace foxtailvale::node
{

using task = std::function<void()>;

// Runs a process's core, ZeroMQ sockets and timers on one thread. Other threads
// pass work to it with post().
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    // Queues the task to run on the loop's thread. Safe from any thread.
    void post(task work);

    // Runs the task at this interval while the loop runs. Call before run().
    void call_every(std::chrono::milliseconds interval, task work);

    // Calls back when the socket is readable; the callback must read all
    // pending messages. Call before run().
    void watch(zmq::socket_ref socket, task on_readable);

    // Calls back on the loop's thread for SIGTERM and SIGINT. Call before any
    // other thread is started, since it blocks the signals in the calling
    // thread and threads started later inherit that.
    void on_stop_signal(task work);

    // Runs until stop is called.
    void run();

    // Ends run. Safe from any thread.
    void stop();

private:
    struct timer
    {
        std::chrono::milliseconds interval;
        base::time_point due;
        task work;
    };

    struct watched
    {
        zmq::socket_ref socket;
        task on_readable;
    };

    void run_posted();
    std::chrono::milliseconds run_timers();
    void read_signal();

    int wake_fd;
    int signal_fd = -1;
    task signal_work;
    std::mutex mutex;
    std::vector<task> posted;
    std::vector<timer> timers;
    std::vector<watched> sockets;
    std::atomic<bool> running{true};
};

} // namespace foxtailvale::node

#endif
