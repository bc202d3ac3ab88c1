#include "standin-2.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <exception>
#include <set>

// The cases of the second review: "cases-2 CASE REPOSITORY RECORD". Ends with 1
// if the rule was broken, 0 if it held, 2 if the case could not run.
namespace
{

using namespace review;

constexpr milliseconds patience{4000};

constexpr char const* one_tenant =
    R"([{"name":"graz","api_keys":["key-graz"],"priority":1,)"
    R"("allowed_regions":[]}])";

struct request
{
    std::string method;
    std::string path;
    std::string id;
    std::string key = "key-graz";
    std::string body = {};
    // In place of the length of the body.
    std::string framing = {};
    milliseconds deadline = patience;
};

std::string text_of(request const& asked)
{
    auto const length =
        asked.method == "GET"
            ? std::string()
            : "Content-Length: " + std::to_string(asked.body.size()) + "\r\n";
    return asked.method + " " + asked.path +
           " HTTP/1.1\r\nHost: mist.example\r\nAttempt-Id: " + asked.id +
           "\r\nDeadline-Ms: " + std::to_string(asked.deadline.count()) +
           "\r\nAuthorization: Bearer " + asked.key + "\r\n" +
           (asked.framing.empty() ? length : asked.framing) + "\r\n" +
           asked.body;
}

std::string status_of(std::optional<message> const& answered)
{
    return answered ? answered->word(1) : "closed";
}

int judge(record& lines, bool broken, std::string const& what)
{
    lines.line((broken ? "BROKEN: " : "held: ") + what);
    std::printf("%s: %s\n", broken ? "broken" : "held", what.c_str());
    return broken ? 1 : 0;
}

int not_run(record& lines, std::string const& why)
{
    lines.line("could not run: " + why);
    std::printf("could not run: %s\n", why.c_str());
    return 2;
}

// CONFIG, ROUTE: the only tenant is removed with its key.
int removed_tenant(record& lines, std::string const& repository)
{
    constexpr milliseconds revoke{5000};
    deployment small(repository, lines);
    worker own(small.ip(11), "i-a", milliseconds(5));
    auto& platform = small.platform();
    platform.put("config", "main", configuration(7, one_tenant));
    platform.put(
        "servers", own.name(),
        worker_entry("plain", own.address(), "ready", 0));
    if (!small.start(milliseconds(20000)))
    {
        return not_run(lines, "the entry is not ready");
    }
    client held(small.callers());
    auto const ask = [&](std::string const& key)
    {
        auto const id = fresh_id();
        auto const sent = steady::now();
        auto const answered =
            held.ask(text_of({"GET", "/status/1", id, key}), patience);
        auto const all = own.runs();
        auto const ran = std::any_of(
            all.begin(), all.end(),
            [&](run const& one)
            {
                return one.attempt == id;
            });
        lines.line(
            "sent at " + std::to_string(lines.ms(sent)) + " ms with " + key +
            ": " + status_of(answered) + (ran ? ", ran" : ", did not run"));
        return std::pair(sent, ran);
    };
    if (!ask("key-graz").second || ask("key-nobody").second)
    {
        return not_run(lines, "keys are not checked before the change");
    }
    auto const acknowledged = platform.put(
        "config", "main",
        configuration(
            8, with_trouble() ? "[]"
                              : R"([{"name":"graz","api_keys":[],)"
                                R"("priority":1,"allowed_regions":[]}])"));
    lines.line("version 8 acknowledged, which takes key-graz away");
    auto late = 0;
    auto unknown = 0;
    while (steady::now() < acknowledged + revoke + milliseconds(5000))
    {
        auto const [sent, ran] = ask("key-graz");
        late += ran && sent > acknowledged + revoke ? 1 : 0;
        unknown += ask("key-nobody").second ? 1 : 0;
        sleep_for(milliseconds(100));
    }
    return judge(
        lines, late > 0 || unknown > 0,
        std::to_string(late) +
            " requests ran that were sent later than revoke_ms after the "
            "acknowledgement, with the key that it took away; " +
            std::to_string(unknown) +
            " requests ran with a key that no configuration ever held");
}

// What came of the orders of some clients.
struct order_counts
{
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> lost = 0;
};

void send_orders(
    deployment const& small,
    record& lines,
    order_counts& counts,
    std::atomic<bool> const& stop)
{
    client held(small.callers());
    while (!stop)
    {
        auto const id = fresh_id();
        auto const answered = held.ask(
            text_of({"POST", "/orders/1", id, "key-graz", "van"}), patience);
        auto const status = status_of(answered);
        if (status == "200")
        {
            ++counts.answered;
        }
        else if (status == "503" || status == "429")
        {
            ++counts.refused;
        }
        else
        {
            ++counts.lost;
        }
        lines.line("order " + id + ": " + status);
        sleep_for(milliseconds(20));
    }
}

// Sends ten idempotent requests a second and returns how many were served.
int ask_for(
    deployment const& small, record& lines, milliseconds time, int& sent)
{
    auto served = 0;
    client held(small.callers());
    auto const until = steady::now() + time;
    while (steady::now() < until)
    {
        auto const next = steady::now() + milliseconds(100);
        auto const answered =
            held.ask(text_of({"GET", "/status/1", fresh_id()}), patience);
        ++sent;
        served += status_of(answered) == "200" ? 1 : 0;
        lines.line("request: " + status_of(answered));
        std::this_thread::sleep_until(next);
    }
    return served;
}

// RECOVER: a page of the list of workers ends with a name that has "&" in it.
int named_page(record& lines, std::string const& repository)
{
    constexpr milliseconds recover{12000};
    constexpr milliseconds down{1200};
    constexpr std::size_t note_bytes = 1000000;
    deployment small(repository, lines);
    worker one(small.ip(11), "i-a", milliseconds(15));
    worker other(small.ip(12), "i-b", milliseconds(15));
    auto& platform = small.platform();
    platform.put("config", "main", configuration(7, one_tenant));
    for (auto* const each : {&one, &other})
    {
        platform.put(
            "servers", each->name(),
            worker_entry("plain", each->address(), "ready", 0));
    }
    if (!small.start(milliseconds(20000)))
    {
        return not_run(lines, "the entry is not ready");
    }
    auto sent_before = 0;
    auto const before = ask_for(small, lines, milliseconds(3000), sent_before);
    // With TROUBLE=0 the same entry, under a name without the sign.
    platform.put(
        "servers", with_trouble() ? "crews&tablets" : "crews-tablets",
        R"({"note":")" + std::string(note_bytes, 'n') + R"("})");
    lines.line("another writer's entry is in the list");
    sleep_for(milliseconds(1000));
    small.kill();
    sleep_for(down);
    auto const back = steady::now();
    auto const listed = platform.listings();
    auto const is_ready = small.start(recover);
    std::this_thread::sleep_until(back + recover);
    lines.line(
        std::to_string(platform.listings() - listed) + " lists asked for in " +
        std::to_string(recover.count()) + " ms");
    auto sent = 0;
    auto const served = ask_for(small, lines, milliseconds(5000), sent);
    if (sent_before == 0 || before * 4 < sent_before || sent == 0)
    {
        return not_run(lines, "less than a quarter was served before");
    }
    return judge(
        lines, served * 4 < sent,
        std::to_string(served) + " of " + std::to_string(sent) +
            " requests served that were sent later than recover_s after the "
            "processes were back (" +
            std::to_string(before) + " of " + std::to_string(sent_before) +
            " before), the entry is " + (is_ready ? "ready" : "not ready"));
}

// UNASKED: a request in the body of another one.
int smuggled_request(record& lines, std::string const& repository)
{
    deployment small(repository, lines);
    worker own(small.ip(11), "i-a", milliseconds(5));
    auto& platform = small.platform();
    platform.put("config", "main", configuration(7, one_tenant));
    platform.put(
        "servers", own.name(),
        worker_entry("plain", own.address(), "ready", 0));
    if (!small.start(milliseconds(20000)))
    {
        return not_run(lines, "the entry is not ready");
    }
    std::set<std::string> hidden;
    std::map<std::string, std::string> bodies;
    for (auto number = 0; number < 10; ++number)
    {
        client held(small.callers());
        auto const first =
            held.ask(text_of({"GET", "/status/1", fresh_id()}), patience);
        if (status_of(first) != "200")
        {
            return not_run(lines, "a plain request is not answered");
        }
        auto const inner = fresh_id();
        auto const outer = fresh_id();
        auto const body =
            text_of({"POST", "/orders/2", inner, "key-graz", "another van"});
        hidden.insert(inner);
        bodies[outer] = body;
        auto const answered = held.ask(
            text_of(
                {"POST", "/orders/1", outer, "key-graz", body,
                 with_trouble() ? "Transfer-Encoding: xchunked\r\n" : ""}),
            patience);
        lines.line("sent " + outer + ": " + status_of(answered));
        auto const second = held.read(milliseconds(300));
        lines.line(
            "then, on the same connection: " +
            (second ? second->first_line + " for " + second->field("attempt-id")
                    : std::string("nothing")));
    }
    auto smuggled = 0;
    auto changed = 0;
    auto whole = 0;
    for (auto const& one : own.runs())
    {
        lines.line(
            "ran " + one.method + " " + one.target + " " + one.attempt +
            " with a body of " + std::to_string(one.body.size()) + " bytes");
        smuggled += hidden.contains(one.attempt) ? 1 : 0;
        auto const sent = bodies.find(one.attempt);
        changed += sent != bodies.end() && sent->second != one.body ? 1 : 0;
        whole += sent != bodies.end() && sent->second == one.body ? 1 : 0;
    }
    if (!with_trouble() && whole == 0)
    {
        return not_run(lines, "no order ran");
    }
    return judge(
        lines, smuggled > 0 || changed > 0,
        std::to_string(smuggled) +
            " requests ran that were sent as the body of another one, and " +
            std::to_string(changed) + " ran with another body than was sent");
}

// The workers of a service, each of which goes down as it begins to run a
// request with the body "boom", and is back after some seconds.
class fragile_workers
{
public:
    fragile_workers(deployment& around, record& given, bool dark)
        : small(around), lines(given), goes_dark(dark)
    {
    }

    ~fragile_workers()
    {
        for (auto& one : this->restarts)
        {
            one.join();
        }
        for (auto const& one : this->all)
        {
            one->end();
        }
    }

    void start(int number)
    {
        std::lock_guard const held(this->guard);
        auto const id = "i-" + std::to_string(++this->started);
        auto const slot = std::make_shared<worker*>(nullptr);
        auto own = std::make_unique<worker>(
            this->small.ip(10 + number), id, milliseconds(40),
            [this, number, slot](stream& caller, message const& asked)
            {
                if (asked.body != "boom")
                {
                    caller.write(
                        answer_head(asked, "w") +
                        "Content-Length: 4\r\n\r\ndone");
                    return;
                }
                this->go_down(number, **slot);
            });
        *slot = own.get();
        this->small.platform().put(
            "servers", id, worker_entry("plain", own->address(), "ready", 0));
        this->all.push_back(std::move(own));
    }

    // When "boom" began to run, by time.
    std::vector<steady::time_point> booms()
    {
        std::lock_guard const held(this->guard);
        return this->boomed;
    }

private:
    void go_down(int number, worker& own)
    {
        auto const at = steady::now();
        {
            std::lock_guard const held(this->guard);
            this->boomed.push_back(at);
            this->lines.line(
                "boom runs at " + own.name() + ", which goes down");
            this->restarts.emplace_back(
                [this, number, &own]
                {
                    this->return_later(number, own);
                });
        }
        if (!this->goes_dark)
        {
            own.end();
            return;
        }
        own.go_dark();
        while (!own.has_ended())
        {
            sleep_for(milliseconds(20));
        }
    }

    void return_later(int number, worker& own)
    {
        sleep_for(milliseconds(3000));
        own.end();
        this->start(number);
        // Three heartbeat intervals after its last sign of life.
        sleep_for(milliseconds(600));
        this->small.platform().remove("servers", own.name());
    }

    deployment& small;
    record& lines;
    bool goes_dark;
    std::mutex guard;
    int started = 0;
    std::vector<steady::time_point> boomed;
    std::vector<std::unique_ptr<worker>> all;
    std::vector<std::thread> restarts;
};

// BUDGET: a request takes down each worker that runs it, without a reset.
int dark_request(record& lines, std::string const& repository)
{
    constexpr milliseconds contact{3000};
    constexpr milliseconds deadline{1000};
    deployment small(repository, lines);
    small.platform().put("config", "main", configuration(7, one_tenant));
    order_counts counts;
    std::vector<steady::time_point> booms;
    auto comes = 0;
    {
        fragile_workers workers(small, lines, with_trouble());
        for (auto number = 1; number <= 8; ++number)
        {
            workers.start(number);
        }
        if (!small.start(milliseconds(20000)))
        {
            return not_run(lines, "the entry is not ready");
        }
        std::atomic<bool> stop = false;
        std::thread others(
            [&]
            {
                send_orders(small, lines, counts, stop);
            });
        sleep_for(milliseconds(3500));
        auto const until = steady::now() + std::chrono::seconds(36);
        while (steady::now() < until)
        {
            client held(small.callers());
            request asked{"POST", "/orders/7", fresh_id(), "key-graz", "boom"};
            asked.deadline = deadline;
            ++comes;
            lines.line(
                "boom " + asked.id + ": " +
                status_of(held.ask(text_of(asked), 2 * deadline)));
            // Later than the worker's return: one is down at a time.
            sleep_for(milliseconds(2400));
        }
        stop = true;
        others.join();
        booms = workers.booms();
    }
    if (booms.size() < 2)
    {
        return not_run(lines, "the request hardly ran");
    }
    auto later = 0;
    for (auto const at : booms)
    {
        later += booms.size() > 2 && at > booms[2] + contact ? 1 : 0;
    }
    lines.line(
        std::to_string(counts.answered) + " other orders answered, " +
        std::to_string(counts.refused) + " refused, " +
        std::to_string(counts.lost) + " without an answer or with 502 or 504");
    return judge(
        lines, later > 3,
        "the request came " + std::to_string(comes) + " times and took " +
            std::to_string(booms.size()) + " workers down, " +
            std::to_string(later) +
            " of them later than contact_ms after the third");
}

// MIXED: a worker crashes in the middle of an answer that has no length.
int half_answer(record& lines, std::string const& repository)
{
    constexpr auto rounds = 6;
    deployment small(repository, lines);
    auto& platform = small.platform();
    platform.put("config", "main", configuration(7, one_tenant));
    if (!small.start(milliseconds(20000)))
    {
        // Nobody is listed, which is a list all the same.
        return not_run(lines, "the entry is not ready");
    }
    auto half = 0;
    auto whole = 0;
    auto other = 0;
    for (auto number = 0; number < rounds; ++number)
    {
        auto const id = "i-" + std::to_string(number);
        worker_process own(small.ip(20 + number), id);
        platform.put(
            "servers", id, worker_entry("plain", own.address(), "ready", 0));
        sleep_for(milliseconds(800));
        client held(small.callers());
        request const asked{
            number % 2 == 0 ? "GET" : "POST",
            (number % 2 == 0 ? "/status/" : "/orders/") +
                std::to_string(number),
            fresh_id()};
        std::thread crash(
            [&]
            {
                if (own.await_half() && with_trouble())
                {
                    sleep_for(milliseconds(100));
                    own.kill();
                    lines.line(id + " was killed in the middle of its answer");
                }
            });
        auto const answered = held.ask(text_of(asked), patience);
        crash.join();
        auto const size = answered ? answered->body.size() : 0;
        auto const is_success = status_of(answered) == "200" &&
                                !answered->field("response-seal").empty();
        half += is_success && size != 2 * half_of_body().size() ? 1 : 0;
        whole += is_success && size == 2 * half_of_body().size() ? 1 : 0;
        other += is_success ? 0 : 1;
        lines.line(
            "sent " + asked.method + " " + asked.id + ": " +
            status_of(answered) + " with a body of " + std::to_string(size) +
            " of " + std::to_string(2 * half_of_body().size()) + " bytes");
        platform.remove("servers", id);
    }
    if (!with_trouble() && whole == 0)
    {
        return not_run(lines, "no answer came");
    }
    return judge(
        lines, half > 0,
        std::to_string(half) +
            " successes with another body than the worker's whole one, " +
            std::to_string(whole) + " with the whole one, " +
            std::to_string(other) + " failures");
}

// ROUTE: another writer's entry lacks fields, at a worker of another service.
int partial_entry(record& lines, std::string const& repository)
{
    deployment small(repository, lines);
    worker plain(small.ip(11), "i-a", milliseconds(20));
    worker ledger(small.ip(12), "i-q", milliseconds(20));
    auto& platform = small.platform();
    platform.put("config", "main", configuration(7, one_tenant));
    platform.put(
        "servers", plain.name(),
        worker_entry("plain", plain.address(), "ready", 0));
    std::atomic<bool> stop = false;
    // Each worker writes its entry every heartbeat_ms.
    std::thread beats(
        [&]
        {
            for (auto beat = 1; !stop; ++beat)
            {
                platform.put(
                    "servers", ledger.name(),
                    worker_entry("ledger", ledger.address(), "ready", beat));
                for (auto part = 0; part < 12 && !stop; ++part)
                {
                    sleep_for(milliseconds(100));
                }
            }
        });
    auto const is_ready = small.start(milliseconds(20000));
    order_counts counts;
    std::vector<std::thread> callers;
    for (auto number = 0; number < 4 && is_ready; ++number)
    {
        callers.emplace_back(
            [&]
            {
                send_orders(small, lines, counts, stop);
            });
    }
    for (auto times = 0; times < 5 && is_ready; ++times)
    {
        sleep_for(milliseconds(1700));
        if (with_trouble())
        {
            // Without version, warmup_left_ms and sequence.
            platform.put(
                "servers", ledger.name(),
                R"({"service":"plain","address":")" + ledger.address() +
                    R"(","zone":"stmk-a","slots":8,"state":"ready"})");
            lines.line("another writer's entry at i-q, with fields missing");
        }
    }
    sleep_for(milliseconds(1500));
    stop = true;
    for (auto& one : callers)
    {
        one.join();
    }
    beats.join();
    if (!is_ready || plain.runs().empty())
    {
        return not_run(lines, "the entry is not ready");
    }
    auto const wrong = ledger.runs();
    for (auto const& one : wrong)
    {
        lines.line(
            "order " + one.attempt + " ran at i-q, a worker of ledger, at " +
            std::to_string(lines.ms(one.at)) + " ms");
    }
    return judge(
        lines, !wrong.empty(),
        std::to_string(wrong.size()) +
            " orders run by a service to which no route leads");
}

} // namespace

int main(int count, char** words)
{
    if (count != 4)
    {
        return 2;
    }
    try
    {
        if (std::string(words[1]) == "worker")
        {
            return run_worker_process(words[2], words[3]);
        }
        record lines(words[3]);
        std::map<std::string, int (*)(record&, std::string const&)> const cases{
            {"removed-tenant", removed_tenant},
            {"named-page", named_page},
            {"dark-request", dark_request},
            {"half-answer", half_answer},
            {"smuggled-request", smuggled_request},
            {"partial-entry", partial_entry}};
        auto const found = cases.find(words[1]);
        return found == cases.end() ? 2 : found->second(lines, words[2]);
    }
    catch (std::exception const& fault)
    {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
}
