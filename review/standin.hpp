#ifndef FOXTAILVALE_REVIEW_STANDIN_HPP
#define FOXTAILVALE_REVIEW_STANDIN_HPP

// Small stand-ins for the review's scripts: the platform's store, workers with
// and without a model, the origin of weights and clients. They speak what the
// users' PROTOCOL.md says. One thread per connection; loopback only.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review
{

// Seconds since the start of the script, on the steady clock.
double now_s();
void sleep_until_s(double at);
void sleep_ms(int ms);

// Writes a line with the time to record.txt.
void record(std::string const& line);
void open_record(std::string const& path);

std::string sha256_hex(std::string const& data);

struct http_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> head;
    std::string body;

    std::string field(std::string const& lower_name) const;
    std::string query(std::string const& key) const;
};

class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    bool read_request(http_request& read);
    bool write(std::string const& bytes);
    bool respond(
        int status,
        std::string const& body,
        std::string const& fields = {},
        std::string const& type = "application/json");
    void shut();

private:
    int fd;
    std::string input;
};

class server
{
public:
    using handler = std::function<void(connection&, http_request const&)>;

    // Ends the script with 2 if it cannot listen.
    server(std::string const& ip, int port, handler on_request);
    ~server();
    void stop();

private:
    void accept_loop();

    int listener = -1;
    handler take;
    std::mutex lock;
    std::set<std::shared_ptr<connection>> open;
    std::atomic<bool> stopped{false};
};

class store
{
public:
    store(std::string const& ip, int port);
    void
    put(std::string const& kind,
        std::string const& name,
        std::string const& spec);
    void remove(std::string const& kind, std::string const& name);

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string text_of(std::string const& name, object const& value);
    void take(connection& peer, http_request const& asked);

    std::mutex lock;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, object>> objects;
    std::vector<event> history;
    std::unique_ptr<server> door;
};

// Weights: 64 chunks of 32,768 bytes for each version.
inline constexpr int chunk_count = 64;
inline constexpr int chunk_bytes = 32768;
inline constexpr int layer_count = 16;
inline constexpr char const* model_name = "daka510000";
std::string chunk_of(std::uint64_t version, int index);
std::vector<std::string> const& digests_of(std::uint64_t version);

class origin
{
public:
    origin(std::string const& ip, int port);

    // Ends the service, and starts it again.
    void crash();
    void come_back();

    // Digits of digests that are changed in the next manifest answers.
    std::atomic<int> manifests_to_spoil{0};
    std::atomic<int> answers{0};
    std::atomic<int> manifests{0};
    std::atomic<int> spoilt{0};
    std::atomic<std::uint64_t> newest{1};

private:
    void take(connection& peer, http_request const& asked);

    std::string const address;
    int const port_number;
    std::mutex link;
    std::unique_ptr<server> door;
};

// A worker. With a model it holds staged chunks and takes orders.
class worker
{
public:
    struct traits
    {
        std::string id;
        std::string ip;
        int port = 8001;
        std::string service;
        std::string zone;
        int slots = 6;
        bool has_model = false;
    };

    worker(store& known, traits what);
    ~worker();

    // Loses staged chunks and layers and stops; `power_on` starts it again.
    void power_off();
    void power_on();
    void stage(std::uint64_t version);

    // Makes the chunk bad where it lies.
    void spoil(int index);

    std::atomic<int> runs{0};
    std::atomic<std::uint64_t> serving{0};
    std::atomic<int> tokens_from_spoilt{0};
    // Whether the answer with this staged chunk goes out in two parts, and what
    // is called between them.
    std::function<bool(int index)> on_stage_get;
    std::function<void()> between_parts;
    std::atomic<int> stage_gets{0};
    std::atomic<int> staged_puts{0};
    std::string address() const;
    traits const what;

private:
    std::string report_fields();
    std::string entry();
    void beat_loop();
    void take(connection& peer, http_request const& asked);
    void order(connection& peer, std::string const& body);
    void run(connection& peer, http_request const& asked);

    store& platform;
    std::mutex lock;
    std::map<int, std::string> staged;
    std::map<int, double> spoilt_at;
    // Layers that were loaded with a chunk that had been bad for over 3 s.
    std::set<int> bad_layers;
    std::uint64_t sequence = 0;
    std::uint64_t beats = 0;
    std::uint64_t born = 0;
    std::atomic<bool> on{false};
    std::atomic<bool> busy{false};
    std::atomic<bool> ended{false};
    std::unique_ptr<server> door;
};

struct answer
{
    int status = 0;
    bool sealed = false;
    bool whole = false;
    std::string body;

    bool is_success() const
    {
        return this->status == 200 && this->sealed && this->whole;
    }
};

// Sends one request on a new connection and reads the answer.
answer
ask(std::string const& address, std::string const& request, int timeout_ms);

// A process of the project, started as the deploy file says.
class process
{
public:
    process(std::string program, std::string settings, std::string folder);
    ~process();
    void start();
    void kill_now();
    void stop();
    void freeze();
    void wake();
    bool is_running();
    // Kills all processes that still run.
    static void kill_all();
    // How it ended, if it did.
    std::string ending() const;

private:
    void await_end();

    std::string const program;
    std::string const settings_path;
    std::string const log_path;
    std::atomic<int> pid{-1};
    int status = 0;
};

// Addresses and settings of one deployment with a number of zones.
class deployment
{
public:
    explicit deployment(std::vector<std::string> zone_names);
    static void remove_folders();

    std::string zone_ip(std::size_t zone, int host) const;
    std::string entry_settings(std::size_t zone, int host) const;
    std::string agent_settings(std::size_t zone, int host) const;
    std::string configuration(std::uint64_t version) const;
    std::string store_ip() const;
    std::string origin_ip() const;

    std::vector<std::string> const zones;
    std::string folder;

private:
    std::string common(
        std::string const& name,
        std::string const& role,
        std::size_t zone,
        std::string const& ip) const;

    std::string prefix;
};

std::string next_attempt_id();

} // namespace review

#endif
