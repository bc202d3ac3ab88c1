#ifndef FOXTAILVALE_SCENARIO_DEMO_NOTES_HPP
#define FOXTAILVALE_SCENARIO_DEMO_NOTES_HPP

#include "deployment.hpp"

#include <nlohmann/json.hpp>

#include <string>

// The release notes of the demonstration.
namespace foxtailvale::scenario
{

// Note 1: the model, its services, all failure domains and workspaces.
nlohmann::json first_note(deployment const& from, std::string const& digest);

// Note 2: another version of the model.
nlohmann::json version_note(deployment const& from, std::string const& digest);

// A note that takes a failure domain "out" or "in".
nlohmann::json
domain_note(int number, std::string const& domain, char const* state);

} // namespace foxtailvale::scenario

#endif
