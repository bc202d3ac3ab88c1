#ifndef FOXTAILVALE_REVIEW_STANDIN_2_HPP
#define FOXTAILVALE_REVIEW_STANDIN_2_HPP

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Stand-ins of the second review: the platform's store, workers and clients, on
// blocking sockets and threads, and the entry's process.
namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The lines of record.txt, with milliseconds since the start.
class record
{
public:
    explicit record(std::string const& path);
    ~record();
    record(record const&) = delete;
    record& operator=(record const&) = delete;

    void line(std::string const& text);
    std::int64_t ms(steady::time_point at) const;

private:
    std::FILE* file;
    std::mutex guard;
    steady::time_point began = steady::now();
};

// A message of HTTP/1.1. Names of fields are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(std::string const& name) const;
    // Word of the first line, from 0.
    std::string word(std::size_t number) const;
};

// One connection with the bytes that were read and not used yet.
class stream
{
public:
    explicit stream(int socket);
    ~stream();
    stream(stream const&) = delete;
    stream& operator=(stream const&) = delete;

    bool write(std::string const& bytes);
    // Nothing at the end of the connection or of the time. A response without
    // a length is read to the end of the connection.
    std::optional<message> read(milliseconds time);
    void shut();

private:
    bool fill(steady::time_point until);
    bool read_chunks(std::string& body, steady::time_point until);

    int socket;
    std::string input;
};

// Listens and runs a thread for each connection.
class server
{
public:
    using handler = std::function<void(stream&)>;

    server(std::string const& ip, handler chosen);
    ~server();
    server(server const&) = delete;
    server& operator=(server const&) = delete;

    std::string address() const;
    bool stopped() const;
    // Closes the listening socket and all connections.
    void stop();

private:
    void accept_all();

    std::string ip;
    handler serve;
    int listener = -1;
    int port = 0;
    std::atomic<bool> is_stopped = false;
    std::mutex guard;
    std::vector<std::shared_ptr<stream>> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

// The platform's store: lists and watches of objects whose spec is the text
// that was written.
class store
{
public:
    explicit store(std::string const& ip);

    std::string address() const;
    // Both return the time of the acknowledgement.
    steady::time_point
    put(std::string const& kind, std::string const& name, std::string spec);
    steady::time_point remove(std::string const& kind, std::string const& name);
    // Lists that were asked for.
    int listings() const;

private:
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool removed = false;
    };

    void serve(stream& client);
    // One page: 500 objects or 1 MB at most, after this name.
    std::string list(std::string const& kind, std::string const& after);
    // Whether the calls of this second stay below reads_per_s.
    bool is_within_rate();
    std::string
    watch(std::string const& kind, std::uint64_t after, milliseconds wait);
    static std::string text_of(change const& object);

    std::mutex guard;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, change>> objects;
    std::vector<change> history;
    std::atomic<int> listed = 0;
    std::int64_t second = 0;
    int calls = 0;
    server listening;
};

// A request that a worker began to run.
struct run
{
    steady::time_point at;
    std::string attempt;
    std::string method;
    std::string target;
    std::string body;
    std::string tenant;
};

// A sound worker: runs what names it or no worker, answers 421 to the rest.
class worker
{
public:
    // Writes the answer of a request that was run. Nothing set: status 200 with
    // a length.
    using answer = std::function<void(stream&, message const&)>;

    worker(
        std::string const& ip,
        std::string id,
        milliseconds work,
        answer chosen = {});

    std::string address() const;
    std::string const& name() const;
    std::vector<run> runs();
    // Nothing is read or answered any more; connections stay open, and new ones
    // are accepted.
    void go_dark();
    // The process ends.
    void end();
    bool has_ended() const;

private:
    void serve(stream& client);

    std::string id;
    milliseconds work;
    answer respond;
    std::atomic<bool> is_dark = false;
    std::mutex guard;
    std::vector<run> done;
    server listening;
};

// The head of a genuine answer to this request, without the blank line.
std::string answer_head(message const& asked, std::string const& worker);

// A worker in a process of its own, whose answers have no length and end with
// their connection: half of the body, a pause, the other half.
class worker_process
{
public:
    worker_process(std::string const& ip, std::string const& id);
    ~worker_process();
    worker_process(worker_process const&) = delete;
    worker_process& operator=(worker_process const&) = delete;

    std::string const& address() const;
    // Waits until it has sent half of an answer.
    bool await_half();
    // Ends it with SIGKILL.
    void kill();

private:
    std::string read_line();

    pid_t process = 0;
    int output = -1;
    std::string listens_at;
};

// What such a process does; it runs until it is ended.
int run_worker_process(std::string const& ip, std::string const& id);

// The body of its answers.
std::string half_of_body();

// A connection of a client to an address; opened when it is needed.
class client
{
public:
    explicit client(std::string address);

    // Sends the bytes on the kept connection and reads the answer. Nothing if
    // the connection ended before a whole answer came.
    std::optional<message> ask(std::string const& bytes, milliseconds time);
    // The same without sending anything.
    std::optional<message> read(milliseconds time);
    void close();

private:
    std::string address;
    std::unique_ptr<stream> connection;
};

// Opens a connection; nothing if it is refused.
std::unique_ptr<stream> connect_to(std::string const& address);

// A small deployment: one zone, one entry, a store and workers.
class deployment
{
public:
    deployment(std::string path, record& lines);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    // Address of the deployment's own loopback network.
    std::string ip(int number) const;
    store& platform();
    std::string const& callers() const;

    // Starts the entry; false if it is not ready within the time.
    bool start(milliseconds time);
    // Ends the entry's process.
    void kill();

private:
    bool is_ready() const;

    std::string repository;
    record& lines;
    std::string folder;
    int network = 0;
    std::unique_ptr<store> objects;
    std::string caller_address;
    std::string readiness_address;
    pid_t process = 0;
    int starts = 0;
};

// An object of `servers` as a worker writes it.
std::string worker_entry(
    std::string const& service,
    std::string const& address,
    std::string const& state,
    int sequence);

// A configuration whose routes all lead to the service "plain": /orders/ not
// idempotent, /status/ idempotent, /chat/ a resumable stream. `tenants` is the
// text of the list.
std::string configuration(int version, std::string const& tenants);

std::string fresh_id();

void sleep_for(milliseconds time);

// Whether the disruption is to be made: not with TROUBLE=0.
bool with_trouble();

} // namespace review

#endif
