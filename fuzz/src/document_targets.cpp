#include "targets.hpp"

#include <platform/requests.hpp>
#include <release/release_note.hpp>
#include <release/settings.hpp>

#include <cstdlib>

namespace foxtailvale::fuzz
{

namespace
{

release::configuration base_configuration()
{
    release::configuration result;
    result.generation = 1;
    result.domains["split-a"].region = "dalmacija";
    result.models["assistant"].digest = std::string(64, 'a');
    result.services["booking"] = {};
    result.workspaces["split"] = {};
    return result;
}

} // namespace

void release_note(std::string_view bytes)
{
    auto source = release::parse_document("note", bytes);
    auto const note = release::read_release_note(source);
    auto const next = release::apply_note(base_configuration(), note, source);
    if (!source.faults.empty())
    {
        // Every rejected note must have a description of its faults.
        if (release::describe(source, source.faults).empty())
        {
            std::abort();
        }
        return;
    }
    // An accepted configuration is stored, so it must survive a round trip
    // through its text form.
    auto const read = release::parse_configuration(to_text(next));
    if (!read || !(read.value() == next))
    {
        std::abort();
    }
}

void settings(std::string_view bytes)
{
    auto entry = release::parse_document("settings", bytes);
    release::read_entry_settings(entry);
    auto agent = release::parse_document("settings", bytes);
    release::read_agent_settings(agent);
}

void named_rate_limit(std::string_view bytes)
{
    net::response_head head;
    head.status = 200;
    head.fields = {{"Server-Limit", std::string(bytes)}};
    auto const read = platform::read_endpoint_head(head);
    // Whatever is named is a limit that can be divided.
    if (!read.rate_limit || !(*read.rate_limit >= 0) ||
        *read.rate_limit > platform::max_rate_limit)
    {
        std::abort();
    }
}

std::vector<std::string> rate_limit_seeds()
{
    return {"1.9", "0", "250", "1e9", "-1", "nan", "inf", "1e-400"};
}

std::vector<std::string> release_note_seeds()
{
    return {
        R"({"note": 2, "follows": 1, "summary": "x", "added": {"domains":
        {"osijek-a": {"region": "slavonija"}}, "workspaces": {"w":
        {"weight": 3}}}, "failure_domains": {"split-a": "out"}})",
        R"({"note": 2, "follows": 1, "changed": {"models": {"assistant":
        {"digest": "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
        "replicas": {"split-a": 2}, "limit": 8, "cold_limit": 2}}}})",
        R"({"note": 2, "follows": 1, "withdrawn": {"services":
        ["booking"], "workspaces": ["split"]}} // gone)"};
}

std::vector<std::string> settings_seeds()
{
    return {
        R"({"name": "a", "failure_domain": "split-a", "region": "d",
        "address": "10.0.0.1", "peer_port": 7000, "operator_port": 7001,
        "platform": "http://10.0.0.2:8000", "caller_port": 7002,
        "address_rewrites": [{"from": "10.1.", "to": "10.2."}]})",
        R"({"name": "a", "failure_domain": "split-a", "region": "d",
        "address": "10.0.0.1", "peer_port": 7000, "operator_port": 7001,
        "platform": "http://10.0.0.2:8000", "endpoint": "http://10.0.0.1:7100",
        "origin": "http://10.0.0.2:8001", "weights_port": 7003,
        "memory_mib": 64 /* MiB */})"};
}

} // namespace foxtailvale::fuzz
