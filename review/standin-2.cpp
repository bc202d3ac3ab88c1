#include "standin-2.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

std::string lower_case(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(),
        [](unsigned char letter)
        {
            return static_cast<char>(std::tolower(letter));
        });
    return text;
}

sockaddr_in socket_address(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
    {
        throw std::runtime_error("not an address: " + ip);
    }
    return address;
}

// A socket that is bound to this address, and its port.
std::pair<int, int> bind_to(std::string const& ip, int port)
{
    auto const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const yes = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    auto address = socket_address(ip, port);
    socklen_t size = sizeof(address);
    auto* const any = reinterpret_cast<sockaddr*>(&address);
    if (::bind(made, any, size) != 0 || ::getsockname(made, any, &size) != 0)
    {
        throw std::runtime_error("cannot bind " + ip);
    }
    return {made, ntohs(address.sin_port)};
}

// A port of the address that nothing uses.
int free_port(std::string const& ip)
{
    auto const [made, port] = bind_to(ip, 0);
    ::close(made);
    return port;
}

bool is_readable(int socket, steady::time_point until)
{
    auto const left = std::chrono::duration_cast<milliseconds>(
        until - steady::now() + milliseconds(1));
    pollfd asked{socket, POLLIN, 0};
    return left.count() > 0 &&
           ::poll(&asked, 1, static_cast<int>(left.count())) > 0;
}

std::string quoted(std::string const& text)
{
    return "\"" + text + "\"";
}

std::string response(unsigned status, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::uint64_t
number_in(std::string const& target, std::string const& key, std::uint64_t none)
{
    auto const found = target.find(key + "=");
    return found == std::string::npos
               ? none
               : std::strtoull(
                     target.c_str() + found + key.size() + 1, nullptr, 10);
}

// A field of a query, which "&" ends, with its "%" escapes undone.
std::string text_in(std::string const& target, std::string const& key)
{
    auto const found = target.find(key + "=");
    if (found == std::string::npos)
    {
        return "";
    }
    auto const from = found + key.size() + 1;
    auto const text = target.substr(from, target.find('&', from) - from);
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '%' || at + 2 >= text.size())
        {
            plain.push_back(text[at]);
            continue;
        }
        plain.push_back(static_cast<char>(
            std::strtoul(text.substr(at + 1, 2).c_str(), nullptr, 16)));
        at += 2;
    }
    return plain;
}

} // namespace

record::record(std::string const& path) : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr)
    {
        throw std::runtime_error("cannot write " + path);
    }
}

record::~record()
{
    std::fclose(this->file);
}

void record::line(std::string const& text)
{
    std::lock_guard const held(this->guard);
    std::fprintf(
        this->file, "%8lld ms  %s\n",
        static_cast<long long>(this->ms(steady::now())), text.c_str());
    std::fflush(this->file);
}

std::int64_t record::ms(steady::time_point at) const
{
    return std::chrono::duration_cast<milliseconds>(at - this->began).count();
}

std::string message::field(std::string const& name) const
{
    auto const found = this->fields.find(name);
    return found == this->fields.end() ? "" : found->second;
}

std::string message::word(std::size_t number) const
{
    std::size_t from = 0;
    for (; number > 0 && from != std::string::npos; --number)
    {
        from = this->first_line.find(' ', from);
        from += from == std::string::npos ? 0 : 1;
    }
    return from == std::string::npos
               ? ""
               : this->first_line.substr(
                     from, this->first_line.find(' ', from) - from);
}

stream::stream(int given) : socket(given)
{
    int const yes = 1;
    ::setsockopt(given, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

stream::~stream()
{
    ::close(this->socket);
}

void stream::shut()
{
    ::shutdown(this->socket, SHUT_RDWR);
}

bool stream::write(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        auto const count = ::send(
            this->socket, bytes.data() + sent, bytes.size() - sent,
            MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool stream::fill(steady::time_point until)
{
    char block[4096];
    if (!is_readable(this->socket, until))
    {
        return false;
    }
    auto const count = ::recv(this->socket, block, sizeof(block), 0);
    if (count <= 0)
    {
        return false;
    }
    this->input.append(block, static_cast<std::size_t>(count));
    return true;
}

bool stream::read_chunks(std::string& body, steady::time_point until)
{
    while (true)
    {
        auto const line = this->input.find("\r\n");
        if (line == std::string::npos)
        {
            if (!this->fill(until))
            {
                return false;
            }
            continue;
        }
        auto const size = std::strtoull(this->input.c_str(), nullptr, 16);
        while (this->input.size() < line + 2 + size + 2)
        {
            if (!this->fill(until))
            {
                return false;
            }
        }
        body.append(this->input, line + 2, size);
        this->input.erase(0, line + 2 + size + 2);
        if (size == 0)
        {
            return true;
        }
    }
}

std::optional<message> stream::read(milliseconds time)
{
    auto const until = steady::now() + time;
    auto end = this->input.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!this->fill(until))
        {
            return std::nullopt;
        }
        end = this->input.find("\r\n\r\n");
    }
    message found;
    auto const head = this->input.substr(0, end + 2);
    this->input.erase(0, end + 4);
    found.first_line = head.substr(0, head.find("\r\n"));
    for (auto from = head.find("\r\n") + 2; from < head.size();)
    {
        auto const line_end = head.find("\r\n", from);
        auto const line = head.substr(from, line_end - from);
        auto const colon = line.find(':');
        auto const value = line.find_first_not_of(' ', colon + 1);
        found.fields[lower_case(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
        from = line_end + 2;
    }
    if (found.field("transfer-encoding") == "chunked")
    {
        return this->read_chunks(found.body, until) ? std::optional(found)
                                                    : std::nullopt;
    }
    auto const size =
        std::strtoull(found.field("content-length").c_str(), nullptr, 10);
    while (this->input.size() < size)
    {
        if (!this->fill(until))
        {
            return std::nullopt;
        }
    }
    found.body = this->input.substr(0, size);
    this->input.erase(0, size);
    return found;
}

server::server(std::string const& own, handler chosen)
    : ip(own), serve(std::move(chosen))
{
    std::tie(this->listener, this->port) = bind_to(own, 0);
    ::listen(this->listener, 256);
    this->acceptor = std::thread(
        [this]
        {
            this->accept_all();
        });
}

server::~server()
{
    this->stop();
    if (this->acceptor.joinable())
    {
        this->acceptor.join();
    }
    for (auto& one : this->threads)
    {
        one.join();
    }
}

std::string server::address() const
{
    return this->ip + ":" + std::to_string(this->port);
}

bool server::stopped() const
{
    return this->is_stopped;
}

void server::stop()
{
    if (this->is_stopped.exchange(true))
    {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(this->listener);
    std::lock_guard const held(this->guard);
    for (auto const& one : this->open)
    {
        one->shut();
    }
}

void server::accept_all()
{
    while (!this->is_stopped)
    {
        auto const accepted =
            ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        auto const made = std::make_shared<stream>(accepted);
        std::lock_guard const held(this->guard);
        if (this->is_stopped)
        {
            return;
        }
        this->open.push_back(made);
        this->threads.emplace_back(
            [this, made]
            {
                this->serve(*made);
                made->shut();
            });
    }
}

store::store(std::string const& ip)
    : listening(
          ip,
          [this](stream& client)
          {
              this->serve(client);
          })
{
}

std::string store::address() const
{
    return this->listening.address();
}

steady::time_point
store::put(std::string const& kind, std::string const& name, std::string spec)
{
    std::lock_guard const held(this->guard);
    change const made{++this->revision, kind, name, std::move(spec), false};
    this->objects[kind][name] = made;
    this->history.push_back(made);
    this->changed.notify_all();
    return steady::now();
}

steady::time_point
store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard const held(this->guard);
    auto gone = this->objects[kind][name];
    gone.revision = ++this->revision;
    gone.removed = true;
    this->objects[kind].erase(name);
    this->history.push_back(gone);
    this->changed.notify_all();
    return steady::now();
}

std::string store::text_of(change const& object)
{
    return R"({"metadata":{"name":)" + quoted(object.name) + R"(,"revision":)" +
           std::to_string(object.revision) +
           R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
           object.spec + R"(,"status":null})";
}

int store::listings() const
{
    return this->listed;
}

bool store::is_within_rate()
{
    constexpr int reads_per_s = 2000;
    std::lock_guard const held(this->guard);
    auto const now = std::chrono::duration_cast<std::chrono::seconds>(
                         steady::now().time_since_epoch())
                         .count();
    this->calls = now == this->second ? this->calls + 1 : 1;
    this->second = now;
    return this->calls <= reads_per_s;
}

std::string store::list(std::string const& kind, std::string const& after)
{
    constexpr std::size_t most_objects = 500;
    constexpr std::size_t most_bytes = 1000000;
    ++this->listed;
    std::lock_guard const held(this->guard);
    std::string items;
    std::size_t count = 0;
    auto const& all = this->objects[kind];
    auto next = after.empty() ? all.begin() : all.upper_bound(after);
    for (;
         next != all.end() && count < most_objects && items.size() < most_bytes;
         ++next, ++count)
    {
        items += (items.empty() ? "" : ",") + text_of(next->second);
    }
    return R"({"items":[)" + items + R"(],"truncated":)" +
           (next == all.end() ? "false" : "true") + R"(,"store_revision":)" +
           std::to_string(this->revision) + "}";
}

std::string
store::watch(std::string const& kind, std::uint64_t after, milliseconds wait)
{
    auto const until = steady::now() + wait;
    std::unique_lock held(this->guard);
    std::string events;
    while (true)
    {
        for (auto const& one : this->history)
        {
            if (one.kind == kind && one.revision > after)
            {
                events += std::string(events.empty() ? "" : ",") +
                          R"({"removed":)" + (one.removed ? "true" : "false") +
                          R"(,"object":)" + text_of(one) + "}";
            }
        }
        if (!events.empty() || steady::now() >= until ||
            this->listening.stopped())
        {
            break;
        }
        this->changed.wait_until(
            held, std::min(until, steady::now() + milliseconds(100)));
    }
    return R"({"events":[)" + events + R"(],"store_revision":)" +
           std::to_string(this->revision) + "}";
}

void store::serve(stream& client)
{
    while (auto const asked = client.read(std::chrono::hours(1)))
    {
        auto const target = asked->word(1);
        std::string const root = "/v1/objects/";
        auto const rest = target.substr(std::min(root.size(), target.size()));
        auto const kind = rest.substr(0, rest.find('?'));
        auto const after = number_in(target, "watch", 0);
        if (!this->is_within_rate())
        {
            client.write(response(429, ""));
            continue;
        }
        client.write(response(
            200, after == 0
                     ? this->list(kind, text_in(target, "after_revision"))
                     : this->watch(
                           kind, after,
                           milliseconds(number_in(target, "wait_ms", 0)))));
    }
}

std::string answer_head(message const& asked, std::string const& worker)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + asked.field("attempt-id") +
           "\r\nResponse-Seal: 3e1b.07." + worker + "\r\n";
}

worker::worker(
    std::string const& ip, std::string given, milliseconds time, answer chosen)
    : id(std::move(given)), work(time), respond(std::move(chosen)),
      listening(
          ip,
          [this](stream& client)
          {
              this->serve(client);
          })
{
}

std::string worker::address() const
{
    return this->listening.address();
}

std::string const& worker::name() const
{
    return this->id;
}

std::vector<run> worker::runs()
{
    std::lock_guard const held(this->guard);
    return this->done;
}

void worker::go_dark()
{
    this->is_dark = true;
}

void worker::end()
{
    this->listening.stop();
}

bool worker::has_ended() const
{
    return this->listening.stopped();
}

void worker::serve(stream& client)
{
    while (auto const asked = client.read(std::chrono::hours(1)))
    {
        while (this->is_dark && !this->has_ended())
        {
            sleep_for(milliseconds(20));
        }
        if (this->has_ended())
        {
            return;
        }
        auto const attempt = asked->field("attempt-id");
        auto const expected = asked->field("expect-instance");
        if (asked->word(1) == "/healthz")
        {
            client.write(
                "HTTP/1.1 200 OK\r\nInstance-Id: " + this->id +
                "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (attempt.empty() || (!expected.empty() && expected != this->id))
        {
            client.write(
                std::string("HTTP/1.1 ") + (attempt.empty() ? "400" : "421") +
                " X\r\nInstance-Id: " + this->id + "\r\nAttempt-Id: " +
                attempt + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        {
            std::lock_guard const held(this->guard);
            this->done.push_back(
                {steady::now(), attempt, asked->word(0), asked->word(1),
                 asked->body, asked->field("tenant")});
        }
        sleep_for(this->work);
        while (this->is_dark && !this->has_ended())
        {
            sleep_for(milliseconds(20));
        }
        if (this->has_ended())
        {
            return;
        }
        if (this->respond)
        {
            this->respond(client, *asked);
            continue;
        }
        client.write(
            answer_head(*asked, this->id) +
            "Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone");
    }
}

worker_process::worker_process(std::string const& ip, std::string const& id)
{
    int ends[2];
    if (::pipe(ends) != 0)
    {
        throw std::runtime_error("no pipe");
    }
    this->process = ::fork();
    if (this->process == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(ends[1], STDOUT_FILENO);
        ::close(ends[0]);
        ::close(ends[1]);
        ::execl(
            "/proc/self/exe", "cases-2", "worker", ip.c_str(), id.c_str(),
            static_cast<char*>(nullptr));
        ::_exit(127);
    }
    ::close(ends[1]);
    ::fcntl(ends[0], F_SETFD, FD_CLOEXEC);
    this->output = ends[0];
    this->listens_at = this->read_line();
}

worker_process::~worker_process()
{
    this->kill();
    ::close(this->output);
}

std::string const& worker_process::address() const
{
    return this->listens_at;
}

std::string worker_process::read_line()
{
    std::string line;
    char next = 0;
    while (::read(this->output, &next, 1) == 1 && next != '\n')
    {
        line.push_back(next);
    }
    return line;
}

bool worker_process::await_half()
{
    return is_readable(this->output, steady::now() + std::chrono::seconds(5)) &&
           this->read_line() == "half";
}

void worker_process::kill()
{
    if (this->process > 0)
    {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

std::string half_of_body()
{
    return std::string(400, 'h');
}

int run_worker_process(std::string const& ip, std::string const& id)
{
    server const listening(
        ip,
        [&id](stream& client)
        {
            auto const asked = client.read(std::chrono::hours(1));
            if (!asked || asked->field("expect-instance") != id)
            {
                return;
            }
            client.write(answer_head(*asked, id) + "\r\n" + half_of_body());
            std::printf("half\n");
            std::fflush(stdout);
            sleep_for(milliseconds(400));
            client.write(half_of_body());
        });
    std::printf("%s\n", listening.address().c_str());
    std::fflush(stdout);
    // The one that started it ends it; after the longest script it ends itself.
    sleep_for(std::chrono::seconds(120));
    return 0;
}

std::unique_ptr<stream> connect_to(std::string const& address)
{
    auto const colon = address.find(':');
    auto const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const target = socket_address(
        address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    if (::connect(
            made, reinterpret_cast<sockaddr const*>(&target), sizeof(target)) !=
        0)
    {
        ::close(made);
        return nullptr;
    }
    return std::make_unique<stream>(made);
}

client::client(std::string given) : address(std::move(given))
{
}

std::optional<message> client::ask(std::string const& bytes, milliseconds time)
{
    if (!this->connection)
    {
        this->connection = connect_to(this->address);
    }
    if (!this->connection || !this->connection->write(bytes))
    {
        this->close();
        return std::nullopt;
    }
    return this->read(time);
}

std::optional<message> client::read(milliseconds time)
{
    auto found = this->connection ? this->connection->read(time) : std::nullopt;
    if (!found || found->field("connection") == "close")
    {
        this->close();
    }
    return found;
}

void client::close()
{
    this->connection.reset();
}

deployment::deployment(std::string path, record& given)
    : repository(std::move(path)), lines(given)
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    this->network = static_cast<int>(::getpid());
    this->objects = std::make_unique<store>(this->ip(200));
}

deployment::~deployment()
{
    this->kill();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string deployment::ip(int number) const
{
    return "127." + std::to_string(64 + this->network % 120) + "." +
           std::to_string(this->network / 120 % 250) + "." +
           std::to_string(number);
}

store& deployment::platform()
{
    return *this->objects;
}

std::string const& deployment::callers() const
{
    return this->caller_address;
}

bool deployment::is_ready() const
{
    auto const asked = connect_to(this->readiness_address);
    if (!asked ||
        !asked->write("GET /v1/readyz HTTP/1.1\r\nHost: entry\r\n\r\n"))
    {
        return false;
    }
    auto const answered = asked->read(milliseconds(1000));
    return answered && answered->word(1) == "200";
}

bool deployment::start(milliseconds time)
{
    auto const own = this->ip(1);
    if (this->caller_address.empty())
    {
        this->caller_address = own + ":" + std::to_string(free_port(own));
        this->readiness_address = own + ":" + std::to_string(free_port(own));
    }
    auto const control = own + ":" + std::to_string(free_port(own));
    auto const first_port = 20000 + this->network % 20000;
    auto const settings = this->folder + "/settings.json";
    // As in DEPLOY.md, with the bounds of flurwacht-mist.
    std::ofstream(settings)
        << R"({"node_name":"edge-1","role":"foxtailvale-entry",)"
        << R"("machine_class":"edge","serves":["edge","control_plane"],"ip":")"
        << own << R"(","zone":"stmk-a","region":"steiermark",)"
        << R"("zones":{"stmk-a":"steiermark"},"listen":{"frontend":")"
        << this->caller_address << R"(","readiness":")"
        << this->readiness_address << R"(","control":")" << control
        << R"("},"port_range":[)" << first_port << "," << first_port + 15
        << R"(],"seed_nodes":[")" << control
        << R"("],"bootstrap":true,"fault_counted":false,)"
        << R"("limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,)"
        << R"("max_fds":4200,"link_mbps":1000.0,"disk_mb":0},)"
        << R"("data_dir":null,"discovery":"platform","entry":"vip",)"
        << R"("heartbeat_ms":1200,"contracts":["base","drain","config",)"
        << R"("cost","retry","recover","engine","stream","tenants","places",)"
        << R"("platform","chunks"],"bounds":{"seed_lag_s":3,)"
        << R"("reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,)"
        << R"("catch_up_s":4,"drain_ms":2000,"grace_s":8,)"
        << R"("loss_slack_ms":200,"config_apply_ms":2000,)"
        << R"("rollback_slack_ms":250,"outer_ms":5000,"revoke_strict":true,)"
        << R"("revoke_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,)"
        << R"("budget_slack":100,"warmup_overrun":1.5,"warmup_tolerance":5,)"
        << R"("evacuate_ms":5000,"recover_s":12,"event_latency_ms":120,)"
        << R"("retry_after_s":0,"version_ms":8000,"version_all_ms":0},)"
        << R"("platform":{"address":")" << this->objects->address()
        << R"(","form":"objects","writes_per_s":400,"reads_per_s":2000,)"
        << R"("history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}})";
    auto const program = this->repository + "/target/bin/foxtailvale-entry";
    auto const log =
        this->folder + "/entry-" + std::to_string(++this->starts) + ".log";
    this->process = ::fork();
    if (this->process == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        auto const output =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        auto const variable = "FOXTAILVALE_CONFIG=" + settings;
        char* words[] = {
            const_cast<char*>(program.c_str()), const_cast<char*>("--platform"),
            nullptr};
        char* variables[] = {const_cast<char*>(variable.c_str()), nullptr};
        if (::chdir(this->repository.c_str()) == 0)
        {
            ::execve(program.c_str(), words, variables);
        }
        ::_exit(127);
    }
    this->lines.line("entry starts");
    auto const until = steady::now() + time;
    while (steady::now() < until)
    {
        if (this->is_ready())
        {
            this->lines.line("entry is ready");
            return true;
        }
        sleep_for(milliseconds(50));
    }
    this->lines.line("entry is not ready");
    return false;
}

void deployment::kill()
{
    if (this->process > 0)
    {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = 0;
        this->lines.line("entry was ended");
    }
}

std::string worker_entry(
    std::string const& service,
    std::string const& address,
    std::string const& state,
    int sequence)
{
    return R"({"service":)" + quoted(service) + R"(,"address":)" +
           quoted(address) +
           R"(,"zone":"stmk-a","version":"v1","slots":8,"state":)" +
           quoted(state) + R"(,"warmup_left_ms":0,"phase":"both","sequence":)" +
           std::to_string(sequence) + "}";
}

std::string configuration(int version, std::string const& tenants)
{
    auto const route = [](std::string const& path, std::string const& kind,
                          std::string const& more)
    {
        return R"({"name":"r-)" + path +
               R"(","host":"mist.example","path_prefix":"/)" + path +
               R"(/","kind":)" + quoted(kind) +
               R"(,"timeout_ms":6000,"latency_goal_ms":500,"priority":1,)" +
               R"("service":"plain","public":false,"allowed_regions":[])" +
               more + "}";
    };
    auto const service = [](std::string const& name)
    {
        return R"({"name":)" + quoted(name) +
               R"(,"health_path":"/healthz","max_connections":96,)" +
               R"("protocol":"h1","tls":false,"warmup_s":0.0,)" +
               R"("warmup_per_s":0.0})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"route_table":[)" +
           route("orders", "non_idempotent", R"(,"max_attempts":1)") + "," +
           route("status", "idempotent", R"(,"max_attempts":2)") + "," +
           route(
               "chat", "streaming",
               R"(,"max_attempts":2,"resumable":true,"gap_target_ms":400)") +
           R"(],"services":[)" + service("plain") + "," + service("ledger") +
           R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)" +
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)" +
           tenants + "}";
}

std::string fresh_id()
{
    static std::mutex guard;
    static std::mt19937_64 random{std::random_device()()};
    std::lock_guard const held(guard);
    char text[17];
    std::snprintf(
        text, sizeof(text), "%016llx",
        static_cast<unsigned long long>(random()));
    return text;
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool with_trouble()
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace review
