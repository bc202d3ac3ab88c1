#include <node/event_loop.hpp>

#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <system_error>

namespace foxtailvale::node
{

namespace
{

constexpr std::chrono::milliseconds max_sleep{100};

[[noreturn]] void throw_errno(char const* what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

} // namespace

event_loop::event_loop() : wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->wake_fd < 0)
    {
        throw_errno("eventfd");
    }
}

event_loop::~event_loop()
{
    close(this->wake_fd);
    if (this->signal_fd >= 0)
    {
        close(this->signal_fd);
    }
}

void event_loop::post(task work)
{
    {
        std::lock_guard const lock(this->mutex);
        this->posted.push_back(std::move(work));
    }
    std::uint64_t const one = 1;
    // A write fails only when the counter is full, which wakes the loop just as
    // well.
    [[maybe_unused]] auto const written =
        write(this->wake_fd, &one, sizeof one);
}

void event_loop::call_every(std::chrono::milliseconds interval, task work)
{
    auto const due = std::chrono::steady_clock::now() + interval;
    this->timers.push_back({interval, due, std::move(work)});
}

void event_loop::watch(zmq::socket_ref socket, task on_readable)
{
    this->sockets.push_back({socket, std::move(on_readable)});
}

void event_loop::on_stop_signal(task work)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    this->signal_fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (this->signal_fd < 0)
    {
        throw_errno("signalfd");
    }
    this->signal_work = std::move(work);
}

void event_loop::run_posted()
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto const drained =
        read(this->wake_fd, &count, sizeof count);
    std::vector<task> work;
    {
        std::lock_guard const lock(this->mutex);
        work.swap(this->posted);
    }
    for (auto const& next : work)
    {
        next();
    }
}

std::chrono::milliseconds event_loop::run_timers()
{
    auto const now = std::chrono::steady_clock::now();
    auto sleep = max_sleep;
    for (auto& entry : this->timers)
    {
        if (entry.due <= now)
        {
            // Counted from now instead of the due time: after a pause of the
            // process the task runs once, not once for each missed interval.
            entry.due = now + entry.interval;
            entry.work();
        }
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(
            entry.due - std::chrono::steady_clock::now());
        sleep = std::clamp(left, std::chrono::milliseconds(0), sleep);
    }
    return sleep;
}

void event_loop::read_signal()
{
    signalfd_siginfo info;
    if (read(this->signal_fd, &info, sizeof info) == sizeof info)
    {
        this->signal_work();
    }
}

void event_loop::run()
{
    std::vector<zmq::pollitem_t> items{{nullptr, this->wake_fd, ZMQ_POLLIN, 0}};
    if (this->signal_fd >= 0)
    {
        items.push_back({nullptr, this->signal_fd, ZMQ_POLLIN, 0});
    }
    auto const first_socket = items.size();
    for (auto& entry : this->sockets)
    {
        items.push_back({entry.socket.handle(), 0, ZMQ_POLLIN, 0});
    }
    while (this->running)
    {
        auto const sleep = this->run_timers();
        zmq::poll(items, sleep);
        if (items[0].revents != 0)
        {
            this->run_posted();
        }
        if (first_socket > 1 && items[1].revents != 0)
        {
            this->read_signal();
        }
        for (auto index = first_socket; index < items.size(); ++index)
        {
            if (items[index].revents != 0)
            {
                this->sockets[index - first_socket].on_readable();
            }
        }
    }
}

void event_loop::stop()
{
    this->running = false;
    this->post([] {});
}

} // namespace foxtailvale::node
