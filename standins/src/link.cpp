#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <standins/link.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <thread>

namespace foxtailvale::standins
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t read_bytes = 64U * 1024U;
// Bytes under way in one direction of one connection; the sender waits past
// it, as it would for a full window.
constexpr std::size_t most_queued_bytes = 512U * 1024U;
// Bytes that may pass in one burst at a link's rate.
constexpr double burst_seconds = 0.01;
constexpr int poll_milliseconds = 1;

// One direction of the link: a token bucket that all connections share.
struct direction
{
    double bytes_per_second = 0;
    double allowance = 0;
    clock::time_point refilled = clock::now();
    std::atomic<std::uint64_t> bytes{0};
    std::atomic<bool> cut{false};
};

std::size_t allowed_bytes(direction& way, clock::time_point now)
{
    if (way.cut)
    {
        return 0;
    }
    if (way.bytes_per_second == 0)
    {
        return read_bytes;
    }
    std::chrono::duration<double> const passed = now - way.refilled;
    way.refilled = now;
    auto const burst = way.bytes_per_second * burst_seconds;
    way.allowance =
        std::min(burst, way.allowance + passed.count() * way.bytes_per_second);
    return static_cast<std::size_t>(std::max(way.allowance, 0.0));
}

// Bytes between one address and one listening address, each way.
struct pair_bytes
{
    std::atomic<std::uint64_t> there{0};
    std::atomic<std::uint64_t> back{0};
};

struct parcel
{
    clock::time_point due;
    std::string bytes;
};

// One way of one connection.
struct pipe
{
    Poco::Net::StreamSocket source;
    Poco::Net::StreamSocket target;
    direction* way = nullptr;
    // Counts what passes, by pair of addresses.
    std::atomic<std::uint64_t>* counted = nullptr;
    std::deque<parcel> queue;
    std::size_t queued = 0;
    bool source_closed = false;
    bool done = false;
};

struct connection
{
    pipe there;
    pipe back;
};

struct listening
{
    Poco::Net::ServerSocket socket;
    Poco::Net::SocketAddress target;
    bool from_first = true;
};

void read_into(pipe& pipe, std::chrono::microseconds latency)
{
    std::array<char, read_bytes> buffer;
    auto const count = pipe.source.receiveBytes(buffer.data(), buffer.size());
    if (count <= 0)
    {
        pipe.source_closed = true;
        return;
    }
    auto const size = static_cast<std::size_t>(count);
    pipe.queue.push_back(
        {clock::now() + latency, std::string(buffer.data(), size)});
    pipe.queued += size;
}

void write_due(pipe& pipe, clock::time_point now)
{
    while (!pipe.queue.empty() && pipe.queue.front().due <= now)
    {
        auto& front = pipe.queue.front();
        auto const allowed = allowed_bytes(*pipe.way, now);
        auto const size = std::min(allowed, front.bytes.size());
        if (size == 0)
        {
            return;
        }
        auto const sent =
            pipe.target.sendBytes(front.bytes.data(), static_cast<int>(size));
        if (sent <= 0)
        {
            return;
        }
        auto const moved = static_cast<std::size_t>(sent);
        pipe.way->allowance -= static_cast<double>(moved);
        pipe.way->bytes += moved;
        *pipe.counted += moved;
        pipe.queued -= moved;
        front.bytes.erase(0, moved);
        if (front.bytes.empty())
        {
            pipe.queue.pop_front();
        }
    }
    if (pipe.queue.empty() && pipe.source_closed && !pipe.done)
    {
        pipe.done = true;
        pipe.target.shutdownSend();
    }
}

} // namespace

class link::forwarder
{
public:
    explicit forwarder(link_options const& given) : options(given)
    {
        auto const rate = static_cast<double>(given.bits_per_second) / 8;
        this->first_to_second.bytes_per_second = rate;
        this->second_to_first.bytes_per_second = rate;
        for (auto const& route : given.routes)
        {
            listening entry;
            entry.socket.bind(
                Poco::Net::SocketAddress(
                    route.listen_address, route.listen_port),
                true);
            entry.socket.listen();
            entry.socket.setBlocking(false);
            entry.target = Poco::Net::SocketAddress(
                route.target_address, route.target_port);
            entry.from_first = route.from == given.first;
            this->listeners.push_back(std::move(entry));
        }
        this->thread = std::thread(
            [this]
            {
                this->run();
            });
    }

    ~forwarder()
    {
        this->stopping = true;
        this->thread.join();
    }

    void cut(std::string const& which)
    {
        this->first_to_second.cut =
            which == "both" || which == "first-to-second";
        this->second_to_first.cut =
            which == "both" || which == "second-to-first";
    }

    json counters()
    {
        json found = json::array();
        {
            std::lock_guard const lock(this->mutex);
            for (auto const& [addresses, bytes] : this->pairs)
            {
                found.push_back(
                    {{"source", addresses.first},
                     {"listen", addresses.second},
                     {"there_bytes", bytes.there.load()},
                     {"back_bytes", bytes.back.load()}});
            }
        }
        return {
            {"pairs", std::move(found)},
            {"first", this->options.first},
            {"second", this->options.second},
            {"first_to_second_bytes", this->first_to_second.bytes.load()},
            {"second_to_first_bytes", this->second_to_first.bytes.load()}};
    }

private:
    void run()
    {
        while (!this->stopping)
        {
            this->poll_once();
            auto const now = clock::now();
            for (auto& entry : this->connections)
            {
                this->move(entry, now);
            }
            std::erase_if(
                this->connections,
                [](connection const& entry)
                {
                    return entry.there.done && entry.back.done;
                });
        }
    }

    void poll_once()
    {
        std::vector<pollfd> items;
        for (auto const& entry : this->listeners)
        {
            items.push_back({entry.socket.impl()->sockfd(), POLLIN, 0});
        }
        std::vector<pipe*> readers;
        for (auto& entry : this->connections)
        {
            for (auto* const way : {&entry.there, &entry.back})
            {
                if (!way->source_closed && way->queued < most_queued_bytes)
                {
                    items.push_back({way->source.impl()->sockfd(), POLLIN, 0});
                    readers.push_back(way);
                }
            }
        }
        ::poll(items.data(), items.size(), poll_milliseconds);
        auto const first = this->listeners.size();
        for (std::size_t index = 0; index < readers.size(); ++index)
        {
            if (items[first + index].revents != 0)
            {
                this->read(*readers[index]);
            }
        }
        for (std::size_t index = 0; index < first; ++index)
        {
            if (items[index].revents != 0)
            {
                this->accept(this->listeners[index]);
            }
        }
    }

    void read(pipe& way)
    {
        try
        {
            read_into(way, this->options.latency);
        }
        catch (Poco::Exception const&)
        {
            way.source_closed = true;
        }
    }

    void accept(listening& entry)
    {
        try
        {
            auto source = entry.socket.acceptConnection();
            auto& there = entry.from_first ? this->first_to_second
                                           : this->second_to_first;
            auto& back = entry.from_first ? this->second_to_first
                                          : this->first_to_second;
            if (there.cut || back.cut)
            {
                return;
            }
            Poco::Net::StreamSocket target(entry.target);
            for (auto* const socket : {&source, &target})
            {
                socket->setNoDelay(true);
                socket->setBlocking(false);
            }
            auto& counted = this->pair_of(source);
            this->connections.push_back(
                {{source, target, &there, &counted.there, {}, 0, false, false},
                 {target, source, &back, &counted.back, {}, 0, false, false}});
        }
        catch (Poco::Exception const&)
        {
            // The target refused: the caller's connection is closed too.
        }
    }

    pair_bytes& pair_of(Poco::Net::StreamSocket const& source)
    {
        std::lock_guard const lock(this->mutex);
        return this->pairs[{
            source.peerAddress().host().toString(),
            source.address().toString()}];
    }

    void move(connection& entry, clock::time_point now)
    {
        for (auto* const way : {&entry.there, &entry.back})
        {
            try
            {
                write_due(*way, now);
            }
            catch (Poco::Exception const&)
            {
                this->drop(entry);
                return;
            }
        }
    }

    void drop(connection& entry)
    {
        for (auto* const way : {&entry.there, &entry.back})
        {
            way->done = true;
            way->source_closed = true;
            way->queue.clear();
            way->source.close();
        }
    }

    link_options options;
    direction first_to_second;
    direction second_to_first;
    std::vector<listening> listeners;
    std::list<connection> connections;
    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, pair_bytes> pairs;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

link::link(
    http::server_options const& control_options, link_options const& options)
    : forwards(std::make_unique<forwarder>(options)),
      control(
          control_options,
          [this](
              Poco::Net::HTTPServerRequest& ask,
              Poco::Net::HTTPServerResponse& reply)
          {
              if (ask.getURI() == "/control")
              {
                  std::string text;
                  http::read_body(ask, read_bytes, text);
                  auto const value = json::parse(text, nullptr, false);
                  this->forwards->cut(
                      value.is_object() ? value.value("cut", "none") : "none");
              }
              http::send_text(
                  reply, 200, "application/json",
                  this->forwards->counters().dump());
          })
{
}

link::~link() = default;

} // namespace foxtailvale::standins
