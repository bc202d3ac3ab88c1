#include "connection.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/SocketAddress.h>
#include <http/parking_server.hpp>
#include <sys/socket.h>

#include <stdexcept>

namespace foxtailvale::http
{

namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds poll_interval{200};
constexpr int listen_backlog = 1024;

Poco::Timespan timespan(milliseconds time)
{
    return Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

Poco::Net::HTTPServerParams::Ptr make_parameters(milliseconds stall_limit)
{
    Poco::Net::HTTPServerParams::Ptr made = new Poco::Net::HTTPServerParams;
    made->setKeepAlive(true);
    made->setTimeout(timespan(stall_limit));
    // After an answer only what is already there is looked for; the poll set
    // waits for the rest.
    made->setKeepAliveTimeout(Poco::Timespan(0));
    return made;
}

Poco::Net::ServerSocket listen_at(parking_options const& options)
{
    Poco::Net::SocketAddress const address(options.address, options.port);
    try
    {
        return {address, listen_backlog};
    }
    catch (Poco::Exception const& fault)
    {
        throw std::runtime_error(
            "cannot listen at " + address.toString() + ": " +
            fault.displayText());
    }
}

// A socket that its peer has closed cannot be shut down again.
void shut_down(Poco::Net::StreamSocket& socket, bool both_ways)
{
    try
    {
        both_ways ? static_cast<void>(socket.shutdown())
                  : socket.shutdownReceive();
    }
    catch (Poco::Exception const&)
    {
        return;
    }
}

} // namespace

class parked_connection
{
public:
    parked_connection(
        Poco::Net::StreamSocket const& peer, std::atomic<std::size_t>& count)
        : socket(peer), open_count(count)
    {
        ++this->open_count;
    }

    ~parked_connection()
    {
        --this->open_count;
    }

    parked_connection(parked_connection const&) = delete;
    parked_connection& operator=(parked_connection const&) = delete;

    Poco::Net::StreamSocket socket;
    steady::time_point parked_at;

private:
    std::atomic<std::size_t>& open_count;
};

parking_server::parking_server(
    parking_options const& how,
    server_handler answer,
    bad_head_handler bad_head)
    : options(how),
      answering(std::make_unique<request_answering>(request_answering{
          std::move(answer), std::move(bad_head),
          make_parameters(how.stall_limit),
          [this]
          {
              return this->draining || this->stopping;
          }})),
      listener(listen_at(how))
{
    this->listener.setBlocking(false);
    this->polled.add(this->listener, Poco::Net::PollSet::POLL_READ);
    this->poller = std::thread(
        [this]
        {
            this->poll_loop();
        });
}

parking_server::~parking_server()
{
    this->stopping = true;
    this->poller.join();
    {
        std::lock_guard const lock(this->mutex);
        this->waiting.clear();
        for (auto const& active : this->busy)
        {
            shut_down(active->socket, true);
        }
    }
    this->ready.notify_all();
    for (auto& worker : this->workers)
    {
        worker.join();
    }
}

bool parking_server::drain(milliseconds most)
{
    this->draining = true;
    std::unique_lock lock(this->mutex);
    // Failure: a request that has arrived but is not read yet would be cut off.
    // Only the way in is closed: the connection turns readable, what has come
    // is answered, and the end is seen after it.
    for (auto const& [socket, idle] : this->parked)
    {
        shut_down(idle->socket, false);
    }
    return this->changed.wait_for(
        lock, most,
        [this]
        {
            return this->is_idle();
        });
}

bool parking_server::is_idle() const
{
    return this->busy.empty() && this->waiting.empty() && this->parked.empty();
}

void parking_server::stop_listening()
{
    this->polled.remove(this->listener);
    this->listener.close();
}

void parking_server::poll_loop()
{
    auto listens = true;
    auto last_sweep = steady::now();
    while (!this->stopping)
    {
        if (listens && this->draining)
        {
            listens = false;
            this->stop_listening();
        }
        for (auto const& [socket, mode] :
             this->polled.poll(timespan(poll_interval)))
        {
            if (listens && socket == this->listener)
            {
                this->accept();
            }
            else
            {
                this->hand_over(socket);
            }
        }
        if (steady::now() - last_sweep > std::chrono::seconds(1))
        {
            last_sweep = steady::now();
            this->close_idle();
        }
    }
}

void parking_server::accept()
{
    try
    {
        while (true)
        {
            auto peer = this->listener.acceptConnection();
            if (this->open_connections >= this->options.most_connections)
            {
                continue;
            }
            peer.setBlocking(true);
            peer.setNoDelay(true);
            peer.setSendTimeout(timespan(this->options.stall_limit));
            peer.setReceiveTimeout(timespan(this->options.stall_limit));
            this->park(std::make_shared<parked_connection>(
                peer, this->open_connections));
        }
    }
    catch (Poco::Exception const&)
    {
        // No more connections wait.
        return;
    }
}

void parking_server::close_idle()
{
    auto const limit = steady::now() - this->options.idle_limit;
    std::lock_guard const lock(this->mutex);
    std::erase_if(
        this->parked,
        [&](auto const& entry)
        {
            auto const old = entry.second->parked_at < limit;
            if (old)
            {
                this->polled.remove(entry.first);
            }
            return old;
        });
}

void parking_server::park(connection const& idle)
{
    idle->parked_at = steady::now();
    std::lock_guard const lock(this->mutex);
    this->parked[idle->socket] = idle;
    this->polled.add(idle->socket, Poco::Net::PollSet::POLL_READ);
    if (this->draining)
    {
        shut_down(idle->socket, false);
    }
}

void parking_server::hand_over(Poco::Net::Socket const& socket)
{
    std::lock_guard const lock(this->mutex);
    auto const found = this->parked.find(socket);
    if (found == this->parked.end())
    {
        return;
    }
    this->polled.remove(socket);
    this->waiting.push_back(std::move(found->second));
    this->parked.erase(found);
    auto const needed = this->idle_workers < this->waiting.size();
    if (needed && this->workers.size() < this->options.most_workers)
    {
        this->workers.emplace_back(
            [this]
            {
                this->work_loop();
            });
    }
    this->ready.notify_one();
}

void parking_server::work_loop()
{
    while (true)
    {
        connection next;
        {
            std::unique_lock lock(this->mutex);
            ++this->idle_workers;
            this->ready.wait(
                lock,
                [this]
                {
                    return this->stopping || !this->waiting.empty();
                });
            --this->idle_workers;
            if (this->waiting.empty())
            {
                return;
            }
            next = std::move(this->waiting.front());
            this->waiting.pop_front();
            this->busy.insert(next);
        }
        this->serve(next);
        {
            std::lock_guard const lock(this->mutex);
            this->busy.erase(next);
        }
        this->changed.notify_all();
    }
}

void parking_server::serve(connection const& active)
{
    try
    {
        // The session's buffers are given back while the connection is idle;
        // it parks only when nothing is left in them.
        Poco::Net::HTTPServerSession session(
            active->socket, this->answering->params);
        auto goes_on = true;
        while (goes_on && !this->stopping && session.hasMoreRequests())
        {
            goes_on = answer_request(session, *this->answering);
        }
        // Or the session's end would close it.
        active->socket = session.detachSocket();
        if (goes_on && !this->draining)
        {
            this->park(active);
            return;
        }
        linger(active->socket);
    }
    catch (std::exception const&)
    {
        // The caller went away, stalled or sent what is no request: its
        // connection ends with this object.
        return;
    }
}

bool is_closed_by_peer(Poco::Net::HTTPServerRequest& request)
{
    auto* const whole =
        dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    if (whole == nullptr)
    {
        return false;
    }
    char byte = 0;
    auto const fd = whole->socket().impl()->sockfd();
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace foxtailvale::http
