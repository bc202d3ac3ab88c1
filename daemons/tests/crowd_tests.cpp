#include <child_process.hpp>
#include <crowd/process_usage.hpp>
#include <crowd/raw_crowd.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <test_address.hpp>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// The entry on its own interface before crowds of callers that keep no limits.
namespace foxtailvale
{

namespace
{

using crowd::crowd_target;
using crowd::raw_crowd;

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = kib * kib;

// What a node may use for control.
constexpr std::size_t most_memory_kib = 128 * kib;

constexpr std::uint16_t caller_port = 7002;

// More than the server has workers.
constexpr std::size_t more_than_workers = 1100;

// An entry alone: no platform answers it, and it lists its models.
class lone_entry
{
public:
    explicit lone_entry(std::size_t system_descriptors = 0)
        : address(testing::own_address()),
          folder(
              std::filesystem::temp_directory_path() /
              ("foxtailvale-own-crowd-" + std::to_string(getpid())))
    {
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
        std::filesystem::create_directories(this->folder);
        auto const settings = (this->folder / "settings.json").string();
        this->write_settings(settings);
        std::vector<std::string> command;
        if (system_descriptors > 0)
        {
            command = {
                "prlimit", "--nofile=" + std::to_string(system_descriptors)};
        }
        command.insert(command.end(), {ENTRY_PROGRAM, settings});
        this->process.emplace(command, (this->folder / "log").string());
        this->expect_answer();
    }

    ~lone_entry()
    {
        this->process.reset();
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }

    lone_entry(lone_entry const&) = delete;
    lone_entry& operator=(lone_entry const&) = delete;

    raw_crowd make_crowd() const
    {
        return {this->callers(), [] {}};
    }

    crowd_target callers() const
    {
        return {this->address, caller_port};
    }

    void expect_answer() const
    {
        EXPECT_TRUE(crowd::is_answered(
            this->callers(),
            []
            {
                return "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n";
            }));
    }

    void expect_sound()
    {
        this->expect_answer();
        ASSERT_FALSE(this->process->has_ended());
        EXPECT_LE(
            crowd::peak_memory_kib(this->process->process_id()),
            most_memory_kib);
    }

    std::optional<scenario::child_process> process;

private:
    void write_settings(std::string const& path) const
    {
        nlohmann::json const settings{
            {"name", "entry-1"},
            {"failure_domain", "a"},
            {"region", "r"},
            {"address", this->address},
            {"peer_port", 7000},
            {"operator_port", 7001},
            {"caller_port", caller_port},
            {"platform", "http://" + this->address + ":7009"}};
        std::ofstream(path) << settings.dump();
    }

    std::string address;
    std::filesystem::path folder;
};

std::string head(std::size_t body_bytes)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Type: "
           "application/json\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n";
}

} // namespace

// Guards against a process that runs out of memory by bodies within the limit
// whose callers stop before the end and stay, going on by a byte now and then.
TEST(own_crowd, bodies_that_stop_before_the_end)
{
    constexpr std::size_t callers = 250;
    lone_entry entry;
    auto crowd = entry.make_crowd();
    crowd.connect(callers);
    crowd.send(head(mib) + std::string(mib - 64 * kib, 'b'));
    for (auto round = 0; round < 10; ++round)
    {
        crowd.send("b");
        crowd.wait(std::chrono::milliseconds(200));
    }
    entry.expect_sound();
}

// Guards against a process whose workers are all held by bodies of which a byte
// comes now and then: nobody else is answered.
TEST(own_crowd, more_unfinished_requests_than_workers)
{
    lone_entry entry;
    auto crowd = entry.make_crowd();
    crowd.connect(more_than_workers);
    crowd.send(head(mib) + "b");
    std::atomic<bool> is_over{false};
    std::thread feeder(
        [&crowd, &is_over]
        {
            while (!is_over)
            {
                crowd.send("b");
                crowd.wait(std::chrono::milliseconds(1000));
            }
        });
    entry.expect_sound();
    is_over = true;
    feeder.join();
}

// Guards against connections on which nothing comes that take all descriptors.
TEST(own_crowd, silent_connections)
{
    constexpr std::size_t descriptors = 200;
    constexpr std::size_t callers = 300;
    lone_entry entry(descriptors);
    auto crowd = entry.make_crowd();
    crowd.connect(callers);
    entry.expect_sound();
}

// Guards against a process that does not end when it is told to, as a crowd
// holds its workers.
TEST(own_crowd, a_stop_ends_beside_a_crowd)
{
    lone_entry entry;
    auto crowd = entry.make_crowd();
    crowd.connect(more_than_workers);
    crowd.send(head(mib) + "b");
    std::atomic<bool> is_over{false};
    std::thread feeder(
        [&crowd, &is_over]
        {
            while (!is_over)
            {
                crowd.send("b");
                crowd.wait(std::chrono::milliseconds(1000));
            }
        });
    entry.process->send(SIGTERM);
    EXPECT_EQ(entry.process->wait(), 0);
    is_over = true;
    feeder.join();
}

} // namespace foxtailvale
