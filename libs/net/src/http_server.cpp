#include <net/http_server.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace foxtailvale::net
{

namespace
{

// Interval at which idle and slow clients are checked; their limits are
// seconds.
constexpr std::chrono::milliseconds sweep_interval{250};

// Until the next try to accept a connection for which the system had no
// descriptor or memory.
constexpr std::chrono::milliseconds accept_pause{50};

// Connections that are closed for each such failure.
constexpr int closed_per_failure = 8;

// Idle connections whose next request may have come are passed over so often.
constexpr int most_spared_connections = 8;

std::vector<session_load>
loads_of(std::vector<std::shared_ptr<server_session>> const& sessions)
{
    auto const now = std::chrono::steady_clock::now();
    std::vector<session_load> loads;
    loads.reserve(sessions.size());
    for (auto const& session : sessions)
    {
        loads.push_back(session->current_load(now));
    }
    return loads;
}

} // namespace

http_server::http_server(
    boost::asio::io_context& loop,
    server_limits limits,
    server_handlers handlers,
    server_capacity capacity)
    : acceptor(loop), timer(loop), accept_timer(loop),
      state(std::make_shared<server_state>())
{
    this->state->limits = limits;
    this->state->capacity = capacity;
    this->state->handlers = std::move(handlers);
}

std::optional<std::string> http_server::listen(tcp_endpoint address)
{
    boost::system::error_code error;
    this->acceptor.open(address.protocol(), error);
    if (!error)
    {
        this->acceptor.set_option(
            boost::asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        this->acceptor.bind(address, error);
    }
    if (!error)
    {
        this->acceptor.listen(
            boost::asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        return error.message();
    }
    this->state->refuse_requests = [weak = this->weak_from_this()]
    {
        if (auto const held = weak.lock())
        {
            held->refuse_requests();
        }
    };
    this->state->close_readers_later = [weak = this->weak_from_this()]
    {
        if (auto const held = weak.lock())
        {
            held->close_readers_later();
        }
    };
    this->accept();
    this->sweep();
    return std::nullopt;
}

void http_server::set_limits(server_limits limits)
{
    this->state->limits = limits;
}

void http_server::set_capacity(server_capacity capacity)
{
    this->state->capacity = capacity;
    auto is_closed = true;
    while (is_closed && this->state->load.connections > capacity.connections)
    {
        is_closed = this->close_connection();
    }
    this->refuse_requests();
    this->close_readers();
}

total_load http_server::current_load() const
{
    return this->state->load;
}

void http_server::announce_close()
{
    this->state->closing = true;
}

void http_server::close_idle(std::chrono::milliseconds quiet_time)
{
    auto const now = std::chrono::steady_clock::now();
    for (auto const& entry : this->sessions)
    {
        if (auto const session = entry.lock())
        {
            session->close_if_idle(now, quiet_time);
        }
    }
}

void http_server::refuse_unfinished()
{
    for (auto const& session : this->open_session_list())
    {
        session->refuse_unfinished();
    }
}

void http_server::stop_accepting()
{
    this->accept_waiting();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void http_server::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->accept_timer.cancel();
    this->stop_accepting();
    for (auto const& entry : this->sessions)
    {
        if (auto const session = entry.lock())
        {
            session->abort();
        }
    }
}

std::size_t http_server::running_requests() const
{
    return this->state->running_requests;
}

std::size_t http_server::open_sessions() const
{
    return this->state->open_sessions;
}

std::vector<unsent_answer> http_server::unsent_answers() const
{
    std::vector<unsent_answer> found;
    for (auto const& entry : this->sessions)
    {
        auto const session = entry.lock();
        if (session && session->current_state() == session_state::writing)
        {
            found.push_back({session->request_name(), session->unsent_bytes()});
        }
    }
    return found;
}

session_counts http_server::count_sessions() const
{
    session_counts counted;
    for (auto const& entry : this->sessions)
    {
        auto const session = entry.lock();
        switch (session ? session->current_state() : session_state::closed)
        {
        case session_state::idle:
            ++counted.idle;
            break;
        case session_state::reading:
            ++counted.reading;
            break;
        case session_state::busy:
            ++counted.busy;
            break;
        case session_state::writing:
            ++counted.writing;
            break;
        case session_state::lingering:
            ++counted.lingering;
            break;
        case session_state::closed:
            break;
        }
    }
    return counted;
}

void http_server::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](
            boost::system::error_code error,
            boost::asio::ip::tcp::socket socket)
        {
            // A socket may come after the acceptor was closed.
            if (!error && !self->stopped)
            {
                self->open_session(std::move(socket));
            }
            if (!self->acceptor.is_open())
            {
                return;
            }
            auto const is_exhausted =
                error == boost::asio::error::no_descriptors ||
                error == boost::asio::error::no_buffer_space ||
                error == boost::asio::error::no_memory ||
                error == boost::system::errc::too_many_files_open_in_system;
            if (is_exhausted)
            {
                self->accept_later(error.message());
                return;
            }
            self->accept();
        });
}

// Failure: with no descriptor left, an accept that is tried again at once
// fails again, and the process does nothing else.
void http_server::accept_later(std::string const& fault)
{
    if (this->state->handlers.on_accept_failed)
    {
        this->state->handlers.on_accept_failed(fault);
    }
    for (auto closed = 0; closed < closed_per_failure; ++closed)
    {
        this->close_connection();
    }
    this->accept_timer.expires_after(accept_pause);
    this->accept_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error && self->acceptor.is_open())
            {
                self->accept();
            }
        });
}

// The system resets connections that wait to be accepted when the listening
// socket is closed, with the requests that came on them.
void http_server::accept_waiting()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error)
    {
        boost::asio::ip::tcp::socket socket(this->acceptor.get_executor());
        this->acceptor.accept(socket, error);
        if (!error)
        {
            this->open_session(std::move(socket));
        }
    }
}

void http_server::open_session(boost::asio::ip::tcp::socket socket)
{
    // A connection that is closed before any of it is read tells its client
    // that nothing ran.
    if (this->state->load.connections >= this->state->capacity.connections &&
        !this->close_connection())
    {
        return;
    }
    auto const session =
        std::make_shared<server_session>(std::move(socket), this->state);
    this->sessions.push_back(session);
    session->open();
}

std::vector<std::shared_ptr<server_session>>
http_server::open_session_list() const
{
    std::vector<std::shared_ptr<server_session>> found;
    for (auto const& entry : this->sessions)
    {
        auto session = entry.lock();
        if (session && session->current_state() != session_state::closed)
        {
            found.push_back(std::move(session));
        }
    }
    return found;
}

bool http_server::close_connection()
{
    auto const open = this->open_session_list();
    auto loads = loads_of(open);
    for (auto tries = 0; tries < most_spared_connections; ++tries)
    {
        auto const chosen = choose_connection_to_close(loads);
        if (!chosen)
        {
            return false;
        }
        if (loads[*chosen].state != session_state::idle ||
            !open[*chosen]->has_unread_input())
        {
            open[*chosen]->close_for(close_reason::connections_exhausted);
            return true;
        }
        loads[*chosen].state = session_state::busy;
    }
    return false;
}

void http_server::refuse_requests()
{
    auto const& common = *this->state;
    if (!exceeds_requests(common.load, common.capacity))
    {
        return;
    }
    auto const open = this->open_session_list();
    auto loads = loads_of(open);
    while (exceeds_requests(common.load, common.capacity))
    {
        auto const chosen =
            choose_request_to_refuse(loads, common.load, common.capacity);
        if (!chosen)
        {
            return;
        }
        loads[*chosen].state = session_state::closed;
        open[*chosen]->refuse_for_capacity();
    }
}

void http_server::close_readers()
{
    auto const& common = *this->state;
    if (common.load.unsent_bytes <= common.capacity.unsent_bytes)
    {
        return;
    }
    auto const open = this->open_session_list();
    auto loads = loads_of(open);
    auto left = common.load.unsent_bytes;
    while (left > common.capacity.unsent_bytes)
    {
        auto const chosen = choose_reader_to_close(loads);
        if (!chosen)
        {
            return;
        }
        left -= std::min(left, loads[*chosen].unsent_bytes);
        loads[*chosen].state = session_state::closed;
        open[*chosen]->close_for(close_reason::answers_exhausted);
    }
}

// Not within a write, whose caller still uses the session.
void http_server::close_readers_later()
{
    if (std::exchange(this->will_close_readers, true))
    {
        return;
    }
    boost::asio::post(
        this->acceptor.get_executor(),
        [self = this->shared_from_this()]
        {
            self->will_close_readers = false;
            self->close_readers();
        });
}

void http_server::sweep()
{
    this->timer.expires_after(sweep_interval);
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (error || self->stopped)
            {
                return;
            }
            auto const now = std::chrono::steady_clock::now();
            self->sessions.remove_if(
                [](std::weak_ptr<server_session> const& entry)
                {
                    return entry.expired();
                });
            for (auto const& entry : self->sessions)
            {
                if (auto const session = entry.lock())
                {
                    session->enforce_limits(now);
                }
            }
            self->sweep();
        });
}

} // namespace foxtailvale::net
