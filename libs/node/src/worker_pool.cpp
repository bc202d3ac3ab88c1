#include <node/worker_pool.hpp>

namespace foxtailvale::node
{

worker_pool::worker_pool(std::size_t limit) : max_threads(limit)
{
}

worker_pool::~worker_pool()
{
    {
        std::lock_guard const lock(this->mutex);
        this->stopping = true;
    }
    this->ready.notify_all();
    for (auto& thread : this->threads)
    {
        thread.join();
    }
}

void worker_pool::run(task work)
{
    std::lock_guard const lock(this->mutex);
    if (this->stopping)
    {
        return;
    }
    this->queue.push_back(std::move(work));
    if (this->queue.size() > this->idle &&
        this->threads.size() < this->max_threads)
    {
        this->threads.emplace_back(
            [this]
            {
                this->work_loop();
            });
    }
    this->ready.notify_one();
}

void worker_pool::work_loop()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping)
    {
        if (this->queue.empty())
        {
            ++this->idle;
            this->ready.wait(lock);
            --this->idle;
            continue;
        }
        auto const work = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

} // namespace foxtailvale::node
