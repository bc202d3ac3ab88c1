#include "call_load.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <cmath>
#include <istream>
#include <iterator>
#include <mutex>
#include <ostream>
#include <thread>

namespace foxtailvale::bench
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr int answer_timeout_seconds = 20;

// A client with one keep-alive connection.
class caller
{
public:
    explicit caller(call_target const& to)
        : target(to), session(Poco::Net::SocketAddress(to.address))
    {
        this->session.setKeepAlive(true);
        this->session.setTimeout(Poco::Timespan(answer_timeout_seconds, 0));
    }

    // Returns false when the answer was not a complete 200.
    bool call()
    {
        try
        {
            Poco::Net::HTTPRequest request(
                this->target.body.empty() ? "GET" : "POST", this->target.path,
                Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("X-Workspace", "trials");
            request.set("X-Request-Id", "bench");
            request.setKeepAlive(true);
            request.setContentType("application/json");
            request.setContentLength(
                static_cast<std::streamsize>(this->target.body.size()));
            this->session.sendRequest(request)
                << this->target.body << std::flush;
            if (!this->no_delay)
            {
                this->session.socket().setNoDelay(true);
                this->no_delay = true;
            }
            Poco::Net::HTTPResponse response;
            auto& body = this->session.receiveResponse(response);
            std::string const text(std::istreambuf_iterator<char>(body), {});
            auto const is_stream =
                response.getContentType() == "text/event-stream";
            return response.getStatus() == 200 &&
                   (!is_stream || text.ends_with("data: [DONE]\n\n"));
        }
        catch (std::exception const&)
        {
            this->session.reset();
            return false;
        }
    }

private:
    call_target const& target;
    Poco::Net::HTTPClientSession session;
    bool no_delay = false;
};

microseconds since(clock::time_point start)
{
    return std::chrono::duration_cast<microseconds>(clock::now() - start);
}

// Merges the results of several threads.
class collector
{
public:
    void add(std::vector<microseconds> const& latencies, std::uint64_t failed)
    {
        std::lock_guard const lock(this->mutex);
        auto& combined = this->results.latencies;
        combined.insert(combined.end(), latencies.begin(), latencies.end());
        this->results.failed += failed;
    }

    call_results finish(microseconds duration)
    {
        this->results.duration = duration;
        std::ranges::sort(this->results.latencies);
        return std::move(this->results);
    }

private:
    std::mutex mutex;
    call_results results;
};

template <class Work>
void run_threads(std::size_t count, Work work)
{
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < count; ++index)
    {
        threads.emplace_back(work, index);
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
}

} // namespace

call_results call_open_loop(
    call_target const& target,
    std::uint32_t per_second,
    std::chrono::seconds duration)
{
    // Enough connections for each call to find a free one when it is due.
    constexpr std::size_t connections = 50;
    collector combined;
    auto const start = clock::now() + std::chrono::milliseconds(100);
    run_threads(
        connections,
        [&](std::size_t index)
        {
            caller client(target);
            std::vector<microseconds> latencies;
            std::uint64_t failed = 0;
            auto const interval = std::chrono::nanoseconds(1'000'000'000) *
                                  connections / per_second;
            auto due = start + interval * index / connections;
            for (; due < start + duration; due += interval)
            {
                std::this_thread::sleep_until(due);
                auto const succeeded = client.call();
                latencies.push_back(since(due));
                failed += succeeded ? 0 : 1;
            }
            combined.add(latencies, failed);
        });
    return combined.finish(duration);
}

call_results call_closed_loop(
    call_target const& target,
    std::size_t connections,
    std::chrono::seconds duration)
{
    collector combined;
    auto const start = clock::now();
    run_threads(
        connections,
        [&](std::size_t)
        {
            caller client(target);
            std::vector<microseconds> latencies;
            std::uint64_t failed = 0;
            while (clock::now() < start + duration)
            {
                auto const call_start = clock::now();
                auto const succeeded = client.call();
                latencies.push_back(since(call_start));
                failed += succeeded ? 0 : 1;
            }
            combined.add(latencies, failed);
        });
    return combined.finish(since(start));
}

call_results
call_concurrently(call_target const& target, std::size_t connections)
{
    collector combined;
    auto const start = clock::now();
    run_threads(
        connections,
        [&](std::size_t)
        {
            caller client(target);
            auto const call_start = clock::now();
            auto const succeeded = client.call();
            combined.add({since(call_start)}, succeeded ? 0 : 1);
        });
    return combined.finish(since(start));
}

double latency_quantile_ms(call_results const& results, double quantile)
{
    if (results.latencies.empty())
    {
        return 0;
    }
    auto const last = static_cast<double>(results.latencies.size() - 1);
    auto const index = static_cast<std::size_t>(std::lround(quantile * last));
    return static_cast<double>(results.latencies[index].count()) / 1000;
}

} // namespace foxtailvale::bench
