#include "weights_parts.hpp"

#include <algorithm>

namespace foxtailvale::agent_core
{

namespace
{

constexpr std::uint32_t bits_per_byte = 8;

} // namespace

control::plan_endpoint const* own_plan_entry(state const& state)
{
    auto const found = state.control.plans.find(state.self.failure_domain);
    return found == state.control.plans.end()
               ? nullptr
               : control::find_agent(found->second, state.self.name);
}

bool is_assigned(state const& state, std::string const& digest)
{
    auto const* const plan_entry = own_plan_entry(state);
    return plan_entry != nullptr &&
           std::ranges::find(
               plan_entry->models, digest, &control::assigned_model::digest) !=
               plan_entry->models.end();
}

void connect_source(
    state& state, weights::chunk_source const& source, actions& out)
{
    if (state.weights.connected.insert(source.agent).second)
    {
        out.push_back(core::connect_peer{source.agent, source.address});
    }
}

void decline_chunk(
    weights::upload const& request, base::error_kind reason, actions& out)
{
    core::send_message message{request.peer, {}};
    auto* const reply = message.envelope.mutable_chunk_reply();
    reply->set_digest(request.digest);
    reply->set_index(request.index);
    reply->set_error(std::string(base::row_of(reason).name));
    out.push_back(std::move(message));
}

weights::origin_fetch_outcome
outcome_of(std::optional<base::error> const& failure)
{
    if (!failure)
    {
        return weights::origin_fetch_outcome::good;
    }
    return failure->kind == base::error_kind::origin_refused
               ? weights::origin_fetch_outcome::refused
               : weights::origin_fetch_outcome::failed;
}

std::string held_bitmap(state const& state, std::string const& digest)
{
    auto const found = state.weights.store.versions.find(digest);
    if (found == state.weights.store.versions.end())
    {
        return {};
    }
    auto const& chunks = found->second.chunks;
    std::string bits((chunks.size() + bits_per_byte - 1) / bits_per_byte, 0);
    for (std::size_t index = 0; index < chunks.size(); ++index)
    {
        if (chunks[index])
        {
            auto& byte = bits[index / bits_per_byte];
            byte = static_cast<char>(
                static_cast<unsigned char>(byte) |
                (1U << (index % bits_per_byte)));
        }
    }
    return bits;
}

std::vector<bool> read_bitmap(std::string const& bits)
{
    std::vector<bool> held(bits.size() * bits_per_byte);
    for (std::size_t index = 0; index < held.size(); ++index)
    {
        auto const byte =
            static_cast<unsigned char>(bits[index / bits_per_byte]);
        held[index] = ((byte >> (index % bits_per_byte)) & 1U) != 0;
    }
    return held;
}

} // namespace foxtailvale::agent_core
