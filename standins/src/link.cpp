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
// Limit of the bytes in flight in one direction of one connection. Beyond it
// the link stops reading, so the sender blocks as on a full TCP window.
constexpr std::size_t max_queued_bytes = 512U * 1024U;
// Burst size of the rate limit, as time at the link's rate.
constexpr double burst_seconds = 0.01;
constexpr int poll_milliseconds = 1;

// One direction of the link, with a token bucket shared by all connections.
struct direction
{
    double bytes_per_second = 0;
    double allowance = 0;
    clock::time_point refilled = clock::now();
    std::atomic<std::uint64_t> bytes{0};
    std::atomic<bool> cut{false};
};

std::size_t allowed_bytes(direction& channel, clock::time_point now)
{
    if (channel.cut)
    {
        return 0;
    }
    if (channel.bytes_per_second == 0)
    {
        return read_bytes;
    }
    std::chrono::duration<double> const passed = now - channel.refilled;
    channel.refilled = now;
    auto const burst = channel.bytes_per_second * burst_seconds;
    channel.allowance = std::min(
        burst, channel.allowance + passed.count() * channel.bytes_per_second);
    return static_cast<std::size_t>(std::max(channel.allowance, 0.0));
}

// Bytes per direction between one source address and one listening address.
struct pair_bytes
{
    std::atomic<std::uint64_t> forward{0};
    std::atomic<std::uint64_t> reverse{0};
};

struct segment
{
    clock::time_point due;
    std::string bytes;
};

// One direction of one connection.
struct pipe
{
    Poco::Net::StreamSocket source;
    Poco::Net::StreamSocket target;
    direction* channel = nullptr;
    // Byte counter of the pair of addresses.
    std::atomic<std::uint64_t>* transferred = nullptr;
    std::deque<segment> queue;
    std::size_t queued = 0;
    bool source_closed = false;
    bool done = false;
};

struct connection
{
    pipe forward;
    pipe reverse;
};

struct listening_route
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
        auto const allowed = allowed_bytes(*pipe.channel, now);
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
        pipe.channel->allowance -= static_cast<double>(moved);
        pipe.channel->bytes += moved;
        *pipe.transferred += moved;
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
    explicit forwarder(link_options const& forwarder_options)
        : options(forwarder_options)
    {
        auto const rate =
            static_cast<double>(forwarder_options.bits_per_second) / 8;
        this->first_to_second.bytes_per_second = rate;
        this->second_to_first.bytes_per_second = rate;
        for (auto const& route : forwarder_options.routes)
        {
            listening_route entry;
            entry.socket.bind(
                Poco::Net::SocketAddress(
                    route.listen_address, route.listen_port),
                true);
            entry.socket.listen();
            entry.socket.setBlocking(false);
            entry.target = Poco::Net::SocketAddress(
                route.target_address, route.target_port);
            entry.from_first = route.from == forwarder_options.first;
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
                     {"there_bytes", bytes.forward.load()},
                     {"back_bytes", bytes.reverse.load()}});
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
                    return entry.forward.done && entry.reverse.done;
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
            for (auto* const channel : {&entry.forward, &entry.reverse})
            {
                if (!channel->source_closed &&
                    channel->queued < max_queued_bytes)
                {
                    items.push_back(
                        {channel->source.impl()->sockfd(), POLLIN, 0});
                    readers.push_back(channel);
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

    void read(pipe& channel)
    {
        try
        {
            read_into(channel, this->options.latency);
        }
        catch (Poco::Exception const&)
        {
            channel.source_closed = true;
        }
    }

    void accept(listening_route& entry)
    {
        try
        {
            auto source = entry.socket.acceptConnection();
            auto& forward = entry.from_first ? this->first_to_second
                                             : this->second_to_first;
            auto& reverse = entry.from_first ? this->second_to_first
                                             : this->first_to_second;
            if (forward.cut || reverse.cut)
            {
                return;
            }
            Poco::Net::StreamSocket target(entry.target);
            for (auto* const socket : {&source, &target})
            {
                socket->setNoDelay(true);
                socket->setBlocking(false);
            }
            auto& transferred = this->counters_of(source);
            this->connections.push_back(
                {{source,
                  target,
                  &forward,
                  &transferred.forward,
                  {},
                  0,
                  false,
                  false},
                 {target,
                  source,
                  &reverse,
                  &transferred.reverse,
                  {},
                  0,
                  false,
                  false}});
        }
        catch (Poco::Exception const&)
        {
            // The target refused the connection; the source connection is
            // closed as it goes out of scope.
        }
    }

    pair_bytes& counters_of(Poco::Net::StreamSocket const& source)
    {
        std::lock_guard const lock(this->mutex);
        return this->pairs[{
            source.peerAddress().host().toString(),
            source.address().toString()}];
    }

    void move(connection& entry, clock::time_point now)
    {
        for (auto* const channel : {&entry.forward, &entry.reverse})
        {
            try
            {
                write_due(*channel, now);
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
        for (auto* const channel : {&entry.forward, &entry.reverse})
        {
            channel->done = true;
            channel->source_closed = true;
            channel->queue.clear();
            channel->source.close();
        }
    }

    link_options options;
    direction first_to_second;
    direction second_to_first;
    std::vector<listening_route> listeners;
    std::list<connection> connections;
    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, pair_bytes> pairs;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

link::link(
    http::server_options const& control_options, link_options const& options)
    : tcp_forwarder(std::make_unique<forwarder>(options)),
      control(
          control_options,
          [this](
              Poco::Net::HTTPServerRequest& incoming,
              Poco::Net::HTTPServerResponse& reply)
          {
              if (incoming.getURI() == "/control")
              {
                  std::string text;
                  http::read_body(incoming, read_bytes, text);
                  auto const value = json::parse(text, nullptr, false);
                  this->tcp_forwarder->cut(
                      value.is_object() ? value.value("cut", "none") : "none");
              }
              http::send_text(
                  reply, 200, "application/json",
                  this->tcp_forwarder->counters().dump());
          })
{
}

link::~link() = default;

} // namespace foxtailvale::standins
