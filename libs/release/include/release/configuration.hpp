#ifndef FOXTAILVALE_RELEASE_CONFIGURATION_HPP
#define FOXTAILVALE_RELEASE_CONFIGURATION_HPP

#include <base/error.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace foxtailvale::release
{

// A model or adapter as released.
struct model_release
{
    // SHA-256 of the manifest, which identifies the weights.
    std::string digest;
    // For an adapter, the model that it is loaded onto; otherwise empty.
    std::string base;
    // Desired number of replicas per failure domain.
    std::map<std::string, std::uint32_t> replicas;
    // Number of replicas per failure domain below which a roll-out must not
    // reduce serving capacity.
    std::uint32_t floor = 0;
    // Maximum number of requests that a warm endpoint can run at once.
    std::uint32_t limit = 8;
    // Maximum number of requests that a cold endpoint can run at once.
    std::uint32_t cold_limit = 1;
    // Memory on the endpoint, in MiB.
    std::uint32_t memory_mib = 0;
    // Number of the release note that last set this entry, for explaining
    // decisions.
    std::uint64_t clause_note = 0;

    bool operator==(model_release const&) const = default;
};

// A plain service as released.
struct service_release
{
    // Whether its calls may be retried. Calls that carry out a booking, a
    // payment or an invoice may not.
    bool repeatable = false;
    // Maximum number of requests that one endpoint can run at once.
    std::uint32_t limit = 8;
    std::uint64_t clause_note = 0;

    bool operator==(service_release const&) const = default;
};

// A failure domain as declared by operators.
struct domain_release
{
    std::string region;
    // False if operators took it out of service; it then gets no new work.
    bool in = true;
    std::uint64_t clause_note = 0;

    bool operator==(domain_release const&) const = default;
};

// Share of a workspace under contention.
struct workspace_release
{
    std::uint32_t weight = 1;

    bool operator==(workspace_release const&) const = default;
};

// The configuration in force: the result of all release notes so far. It
// replaces a configuration of a lower generation completely.
struct configuration
{
    std::uint64_t generation = 0;
    std::map<std::string, model_release> models;
    std::map<std::string, service_release> services;
    std::map<std::string, domain_release> domains;
    std::map<std::string, workspace_release> workspaces;

    bool operator==(configuration const&) const = default;
};

// Returns the form that is stored and sent to peers.
std::string to_text(configuration const& value);

// Parses the stored form. Fails with bad_release_note if the text is not valid.
base::result<configuration> parse_configuration(std::string const& text);

} // namespace foxtailvale::release

#endif
