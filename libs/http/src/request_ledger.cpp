#include "message_socket.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <http/http_server.hpp>
#include <http/request_ledger.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <istream>

namespace foxtailvale::http
{

namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t piece_bytes = 16 * 1024;

// How long a body waits for the memory of revoked ones, whose workers end them.
constexpr milliseconds longest_wait{1000};

int descriptor_of(Poco::Net::HTTPServerRequest& request)
{
    auto* const implementation =
        dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    return implementation == nullptr
               ? -1
               : implementation->socket().impl()->sockfd();
}

std::uint64_t age_of(steady::time_point began)
{
    auto const age =
        std::chrono::duration_cast<milliseconds>(steady::now() - began);
    return static_cast<std::uint64_t>(std::max(age, milliseconds(1)).count());
}

} // namespace

request_ledger::request_ledger(std::size_t most) : limit(most)
{
}

void request_ledger::begin(int connection)
{
    std::lock_guard const lock(this->mutex);
    this->requests[connection] = {steady::now()};
}

void request_ledger::end(int connection)
{
    {
        std::lock_guard const lock(this->mutex);
        auto const found = this->requests.find(connection);
        if (found == this->requests.end())
        {
            return;
        }
        this->total -= found->second.bytes;
        this->requests.erase(found);
    }
    this->freed.notify_all();
}

body_end request_ledger::read_body(
    Poco::Net::HTTPServerRequest& request,
    std::uint64_t max_bytes,
    std::string& body)
{
    auto const connection = descriptor_of(request);
    auto const has_body =
        request.hasContentLength() || request.getChunkedTransferEncoding();
    std::array<char, piece_bytes> piece{};
    auto& stream = request.stream();
    while (has_body && stream)
    {
        stream.read(piece.data(), piece.size());
        if (stream.bad())
        {
            if (this->is_revoked(connection))
            {
                return body_end::refused;
            }
            throw cut_message("request body is not complete");
        }
        body.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_bytes)
        {
            return body_end::too_large;
        }
        if (!this->count(connection, body.capacity()))
        {
            return body_end::refused;
        }
    }
    std::lock_guard const lock(this->mutex);
    if (auto const found = this->requests.find(connection);
        found != this->requests.end())
    {
        found->second.is_read = true;
    }
    return body_end::whole;
}

void request_ledger::revoke(std::size_t most, milliseconds least_age)
{
    std::lock_guard const lock(this->mutex);
    for (std::size_t revoked = 0; revoked < most; ++revoked)
    {
        auto const chosen = this->choose(least_age);
        if (chosen == this->requests.end())
        {
            return;
        }
        revoke(*chosen);
    }
}

bool request_ledger::count(int connection, std::size_t bytes)
{
    std::unique_lock lock(this->mutex);
    auto const found = this->requests.find(connection);
    if (found == this->requests.end())
    {
        return true;
    }
    this->total = this->total - found->second.bytes + bytes;
    found->second.bytes = bytes;
    auto const until = steady::now() + longest_wait;
    while (this->total > this->limit && !found->second.is_revoked)
    {
        auto const chosen = this->choose(milliseconds(0));
        if (chosen == found)
        {
            return false;
        }
        if (chosen != this->requests.end())
        {
            revoke(*chosen);
        }
        if (this->freed.wait_until(lock, until) == std::cv_status::timeout)
        {
            return this->total <= this->limit;
        }
    }
    return !found->second.is_revoked;
}

bool request_ledger::is_revoked(int connection)
{
    std::lock_guard const lock(this->mutex);
    auto const found = this->requests.find(connection);
    return found != this->requests.end() && found->second.is_revoked;
}

request_ledger::table::iterator request_ledger::choose(milliseconds least_age)
{
    auto chosen = this->requests.end();
    std::uint64_t most = 0;
    for (auto entry = this->requests.begin(); entry != this->requests.end();
         ++entry)
    {
        auto const& held = entry->second;
        auto const age = age_of(held.began);
        auto const weight = (held.bytes + 1) * age;
        if (!held.is_read && !held.is_revoked && weight > most &&
            age >= static_cast<std::uint64_t>(least_age.count()))
        {
            most = weight;
            chosen = entry;
        }
    }
    return chosen;
}

// Its worker's read ends, and the request can still be answered.
void request_ledger::revoke(table::value_type& chosen)
{
    chosen.second.is_revoked = true;
    ::shutdown(chosen.first, SHUT_RD);
}

} // namespace foxtailvale::http
