#ifndef FOXTAILVALE_NODE_WORKER_POOL_HPP
#define FOXTAILVALE_NODE_WORKER_POOL_HPP

#include <node/event_loop.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace foxtailvale::node
{

// Threads for blocking calls, started on demand up to the maximum. Work is
// queued in order when all are busy.
class worker_pool
{
public:
    explicit worker_pool(std::size_t max_threads);
    // Waits for running work; queued work is dropped.
    ~worker_pool();
    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    // Safe from any thread.
    void run(task work);

private:
    void work_loop();

    std::size_t max_threads;
    std::mutex mutex;
    std::condition_variable ready;
    std::deque<task> queue;
    std::size_t idle = 0;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace foxtailvale::node

#endif
