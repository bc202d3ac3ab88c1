#include "raw_crowd.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <thread>
#include <utility>

namespace foxtailvale::crowd
{

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr milliseconds round_time{5};
constexpr std::size_t most_bytes_per_round = 64UL * 1024;

// Callers whose bytes the system does not take for so long are held by the
// other side.
constexpr milliseconds longest_standstill{1500};

constexpr milliseconds answer_time{5000};
constexpr milliseconds longest_asking{60000};
constexpr milliseconds question_interval{250};

// The length that the head names; zero without one.
std::size_t length_of(std::string_view head)
{
    constexpr std::string_view name = "Content-Length: ";
    auto const found = head.find(name);
    std::size_t length = 0;
    if (found != std::string_view::npos)
    {
        auto const digits = head.substr(found + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
    }
    return length;
}

bool is_whole(std::string_view text)
{
    constexpr std::string_view head_end = "\r\n\r\n";
    auto const end = text.find(head_end);
    return end != std::string_view::npos &&
           text.size() >=
               end + head_end.size() + length_of(text.substr(0, end));
}

unsigned status_of(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    auto status = 0U;
    if (text.starts_with(version) && is_whole(text))
    {
        auto const digits = text.substr(version.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), status);
    }
    return status;
}

} // namespace

raw_connection::raw_connection(crowd_target const& target, int receive_buffer)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (this->descriptor < 0)
    {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    if (receive_buffer > 0)
    {
        ::setsockopt(
            this->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
            sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.ip.c_str(), &address.sin_addr);
    this->broken =
        ::connect(
            this->descriptor, reinterpret_cast<sockaddr const*>(&address),
            sizeof(address)) != 0;
}

raw_connection::~raw_connection()
{
    if (this->descriptor >= 0)
    {
        ::close(this->descriptor);
    }
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)),
      queued(std::move(other.queued)), first(other.first), sent(other.sent),
      broken(other.broken)
{
}

void raw_connection::queue(std::shared_ptr<std::string const> bytes)
{
    this->queued.push_back(std::move(bytes));
}

bool raw_connection::send_some()
{
    auto left = most_bytes_per_round;
    while (!this->is_done() && left > 0)
    {
        auto const& bytes = *this->queued[this->first];
        auto const count = ::send(
            this->descriptor, bytes.data() + this->sent,
            std::min(bytes.size() - this->sent, left),
            MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0)
        {
            this->broken = errno != EAGAIN && errno != EINTR;
            break;
        }
        left -= static_cast<std::size_t>(count);
        this->sent += static_cast<std::size_t>(count);
        if (this->sent == bytes.size())
        {
            this->sent = 0;
            ++this->first;
        }
    }
    return left < most_bytes_per_round;
}

bool raw_connection::is_done() const
{
    return this->broken || this->first == this->queued.size();
}

bool raw_connection::is_broken() const
{
    return this->broken;
}

bool raw_connection::read_some(std::string& text)
{
    char block[16384];
    while (true)
    {
        auto const count =
            ::recv(this->descriptor, block, sizeof(block), MSG_DONTWAIT);
        if (count <= 0)
        {
            return count < 0 && (errno == EAGAIN || errno == EINTR);
        }
        text.append(block, static_cast<std::size_t>(count));
    }
}

raw_crowd::raw_crowd(crowd_target to, observer on_round)
    : target(std::move(to)), observe(std::move(on_round))
{
}

void raw_crowd::connect(std::size_t count, int receive_buffer)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        this->callers.emplace_back(this->target, receive_buffer);
    }
    this->observe();
}

void raw_crowd::send(std::string bytes)
{
    auto const shared = std::make_shared<std::string const>(std::move(bytes));
    for (auto& caller : this->callers)
    {
        caller.queue(shared);
    }
    auto last_progress = clock::now();
    auto is_done = false;
    while (!is_done && clock::now() - last_progress < longest_standstill)
    {
        is_done = true;
        for (auto& caller : this->callers)
        {
            if (caller.send_some())
            {
                last_progress = clock::now();
            }
            is_done = is_done && caller.is_done();
        }
        this->observe();
        std::this_thread::sleep_for(round_time);
    }
}

void raw_crowd::wait(milliseconds time) const
{
    auto const end = clock::now() + time;
    while (clock::now() < end)
    {
        this->observe();
        std::this_thread::sleep_for(round_time);
    }
}

void raw_crowd::leave()
{
    this->callers.clear();
    this->observe();
}

std::size_t raw_crowd::size() const
{
    return this->callers.size();
}

unsigned ask_once(crowd_target const& target, std::string_view request)
{
    raw_connection connection(target);
    connection.queue(std::make_shared<std::string const>(request));
    std::string answer;
    auto const end = clock::now() + answer_time;
    while (clock::now() < end && !is_whole(answer))
    {
        connection.send_some();
        if (!connection.read_some(answer))
        {
            break;
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    return status_of(answer);
}

bool is_answered(
    crowd_target const& target,
    std::function<std::string()> const& next_request,
    unsigned status)
{
    auto const end = clock::now() + longest_asking;
    while (clock::now() < end)
    {
        if (ask_once(target, next_request()) == status)
        {
            return true;
        }
        std::this_thread::sleep_for(question_interval);
    }
    return false;
}

} // namespace foxtailvale::crowd
