#include "exchange.hpp"
#include "message_socket.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <http/parking_server.hpp>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace foxtailvale::http
{

namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr milliseconds poll_interval{200};
constexpr int listen_backlog = 1024;
// While requests wait for a worker, one that is read may hold its own for so
// long.
constexpr milliseconds longest_reading{1000};
// Until the next try to accept a connection for which the system had no
// descriptor.
constexpr milliseconds accept_pause{50};
// How long a drain awaits the next request of a caller that was not told that
// its connection closes.
constexpr milliseconds closing_wait{1000};
// How long the server's end lets its workers send a last refusal.
constexpr milliseconds refusal_wait{500};

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
    // After a response, POCO looks only for input that is already there; the
    // poll set waits for the rest.
    made->setKeepAliveTimeout(Poco::Timespan(0));
    return made;
}

std::size_t connections_allowed(std::size_t asked)
{
    rlimit of_system{};
    if (::getrlimit(RLIMIT_NOFILE, &of_system) != 0 ||
        of_system.rlim_cur == RLIM_INFINITY)
    {
        return asked;
    }
    return std::min(asked, static_cast<std::size_t>(of_system.rlim_cur) / 2);
}

// Counts a request in the ledger while it is read and answered.
class ledger_entry
{
public:
    ledger_entry(
        std::shared_ptr<request_ledger> owner, Poco::Net::StreamSocket& socket)
        : ledger(std::move(owner)), connection(socket.impl()->sockfd())
    {
        if (this->ledger)
        {
            this->ledger->begin(this->connection);
        }
    }

    ~ledger_entry()
    {
        if (this->ledger)
        {
            this->ledger->end(this->connection);
        }
    }

    ledger_entry(ledger_entry const&) = delete;
    ledger_entry& operator=(ledger_entry const&) = delete;

private:
    std::shared_ptr<request_ledger> ledger;
    int connection;
};

} // namespace

class parked_connection
{
public:
    parked_connection(
        Poco::Net::StreamSocket const& accepted,
        Poco::Net::SocketAddress const& address,
        Poco::Net::HTTPServerParams::Ptr const& parameters,
        std::atomic<std::size_t>& count)
        : socket(accepted), session(accepted, parameters),
          peer(address.toString()), open_count(count)
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
    server_session session;
    std::string peer;
    // Its last answer is written.
    std::atomic<bool> answered{false};
    steady::time_point parked_at;

private:
    std::atomic<std::size_t>& open_count;
};

parking_server::parking_server(
    parking_options const& how,
    server_handler answer,
    bad_head_handler on_bad_head)
    : options(how), handler(std::move(answer)),
      bad_head(std::move(on_bad_head)),
      parameters(make_parameters(how.stall_limit)),
      listener(message_server_socket(
          Poco::Net::SocketAddress(how.address, how.port), listen_backlog))
{
    this->options.max_connections =
        connections_allowed(this->options.max_connections);
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
    this->abort();
    this->ready.notify_all();
    for (auto& worker : this->workers)
    {
        worker.join();
    }
}

// A worker may wait for a caller that reads or sends a byte at a time, without
// end. What it reads ends here, so that the request can still be refused; what
// it writes ends after a short time.
void parking_server::abort()
{
    std::unique_lock lock(this->mutex);
    this->waiting.clear();
    for (auto const& owner : this->busy)
    {
        ::shutdown(owner->socket.impl()->sockfd(), SHUT_RD);
    }
    this->finished.wait_for(
        lock, refusal_wait,
        [this]
        {
            return this->busy.empty();
        });
    for (auto const& owner : this->busy)
    {
        ::shutdown(owner->socket.impl()->sockfd(), SHUT_RDWR);
    }
}

void parking_server::announce_close()
{
    this->closing = true;
}

bool parking_server::drain(milliseconds max_wait)
{
    this->closing = true;
    std::unique_lock lock(this->mutex);
    this->drain_began = steady::now();
    this->draining = true;
    return this->finished.wait_for(
        lock, max_wait,
        [this]
        {
            return !this->listening && this->busy.empty() &&
                   this->waiting.empty() && this->parked.empty();
        });
}

std::vector<std::string> parking_server::busy_callers()
{
    std::lock_guard const lock(this->mutex);
    std::vector<std::string> callers;
    for (auto const& owner : this->busy)
    {
        if (!owner->answered)
        {
            callers.push_back(owner->peer);
        }
    }
    return callers;
}

// Failure: connections that callers had made, and requests that they had sent,
// were closed unread with the listening socket.
void parking_server::stop_listening()
{
    this->accept();
    this->polled.remove(this->listener);
    this->listener.close();
    {
        std::lock_guard const lock(this->mutex);
        this->listening = false;
    }
    this->finished.notify_all();
}

void parking_server::poll_loop()
{
    auto last_sweep = steady::now();
    while (!this->stopping)
    {
        if (this->draining)
        {
            if (this->listening)
            {
                this->stop_listening();
            }
            this->close_drained();
        }
        for (auto const& [socket, mode] :
             this->polled.poll(timespan(poll_interval)))
        {
            if (socket == this->listener)
            {
                this->accept();
            }
            else
            {
                this->on_readable(socket);
            }
        }
        this->free_workers();
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
            Poco::Net::SocketAddress address;
            auto peer = this->listener.acceptConnection(address);
            if (this->open_connections >= this->options.max_connections &&
                !this->close_longest_idle())
            {
                continue;
            }
            peer.setBlocking(true);
            peer.setNoDelay(true);
            peer.setSendTimeout(timespan(this->options.stall_limit));
            peer.setReceiveTimeout(timespan(this->options.stall_limit));
            this->park(std::make_shared<parked_connection>(
                peer, address, this->parameters, this->open_connections));
        }
    }
    catch (Poco::Exception const& fault)
    {
        // Otherwise no more connections are pending.
        if (fault.code() == EMFILE || fault.code() == ENFILE)
        {
            this->close_longest_idle();
            std::this_thread::sleep_for(accept_pause);
        }
    }
}

bool parking_server::close_longest_idle()
{
    std::lock_guard const lock(this->mutex);
    auto const oldest = std::ranges::min_element(
        this->parked, {},
        [](auto const& entry)
        {
            return entry.second->parked_at;
        });
    if (oldest == this->parked.end())
    {
        return false;
    }
    this->polled.remove(oldest->first);
    this->parked.erase(oldest);
    return true;
}

// Failure: callers that send a byte now and then held all workers, and no other
// caller was answered.
void parking_server::free_workers()
{
    std::size_t needed = 0;
    {
        std::lock_guard const lock(this->mutex);
        needed = this->waiting.size() -
                 std::min(this->waiting.size(), this->idle_workers);
        if (this->workers.size() < this->options.max_workers)
        {
            return;
        }
    }
    if (needed > 0 && this->options.ledger)
    {
        this->options.ledger->revoke(needed, longest_reading);
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

// Closes the connections that have sent no further request during the drain. A
// request that crosses a close is lost to a caller that cannot tell whether it
// ran, so each connection is open for a while to answer one more request, with
// an answer that tells that the connection closes.
void parking_server::close_drained()
{
    {
        std::lock_guard const lock(this->mutex);
        auto const limit = steady::now() - closing_wait;
        std::erase_if(
            this->parked,
            [&](auto const& entry)
            {
                auto const& idle = *entry.second;
                auto const since = std::max(idle.parked_at, this->drain_began);
                auto const close = since < limit && !has_unsent(idle.socket);
                if (close)
                {
                    this->polled.remove(entry.first);
                }
                return close;
            });
    }
    this->finished.notify_all();
}

void parking_server::park(connection const& idle)
{
    idle->parked_at = steady::now();
    std::lock_guard const lock(this->mutex);
    this->parked[idle->socket] = idle;
    this->polled.add(idle->socket, Poco::Net::PollSet::POLL_READ);
}

void parking_server::on_readable(Poco::Net::Socket const& socket)
{
    std::lock_guard const lock(this->mutex);
    auto const found = this->parked.find(socket);
    if (found == this->parked.end())
    {
        return;
    }
    this->polled.remove(socket);
    this->give_to_worker(std::move(found->second));
    this->parked.erase(found);
}

void parking_server::give_to_worker(connection active)
{
    this->waiting.push_back(std::move(active));
    auto const all_taken = this->idle_workers < this->waiting.size();
    if (all_taken && this->workers.size() < this->options.max_workers)
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
        next.reset();
        this->finished.notify_all();
    }
}

void parking_server::serve(connection const& active)
{
    auto& session = active->session;
    exchange_context const exchange{
        this->handler, this->bad_head, this->parameters,
        [this]
        {
            return this->closing.load();
        }};
    try
    {
        auto keep_open = true;
        while (keep_open && !this->stopping && session.hasMoreRequests())
        {
            ledger_entry const counted(this->options.ledger, active->socket);
            keep_open = answer_one(session, active->socket, exchange);
        }
        if (!keep_open)
        {
            active->answered = true;
            linger(active->socket);
            return;
        }
        if (session.getKeepAlive() && !this->stopping)
        {
            this->park(active);
            return;
        }
    }
    catch (std::exception const&)
    {
        // The caller disconnected, stalled or sent something that is not a
        // request: its connection is closed with this object.
        return;
    }
}

bool is_closed_by_peer(Poco::Net::HTTPServerRequest& request)
{
    auto* const implementation =
        dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    if (implementation == nullptr)
    {
        return false;
    }
    char byte = 0;
    auto const fd = implementation->socket().impl()->sockfd();
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace foxtailvale::http
