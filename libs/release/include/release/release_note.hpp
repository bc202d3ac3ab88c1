#ifndef FOXTAILVALE_RELEASE_RELEASE_NOTE_HPP
#define FOXTAILVALE_RELEASE_RELEASE_NOTE_HPP

#include <release/configuration.hpp>
#include <release/document.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtailvale::release
{

// The entries that a note adds, or those that it changes.
struct note_section
{
    std::map<std::string, model_release> models;
    std::map<std::string, service_release> services;
    std::map<std::string, domain_release> domains;
    std::map<std::string, workspace_release> workspaces;
};

// The entries that a note removes, by name.
struct withdrawn_section
{
    std::vector<std::string> models;
    std::vector<std::string> services;
    std::vector<std::string> domains;
    std::vector<std::string> workspaces;
};

// An operator's release note, as stored in version control.
struct release_note
{
    std::uint64_t number = 0;
    // Number of the note in force that this note builds on; zero for the first
    // note.
    std::uint64_t follows = 0;
    std::string summary;
    note_section added;
    note_section changed;
    withdrawn_section withdrawn;
    // Failure domains to take out of service (false) or to return to service
    // (true).
    std::map<std::string, bool> domain_in_service;
};

// Reads a note and adds all its faults to those of the document.
release_note read_release_note(document& source);

// Returns the configuration after the note; its generation is the number of the
// note. All conflicts with the configuration in force (the note follows another
// one, adds an existing entry, changes or withdraws an absent one, or names an
// unknown failure domain) are added to the document as faults. The result is
// valid only if there are none.
configuration apply_note(
    configuration const& in_force, release_note const& note, document& source);

} // namespace foxtailvale::release

#endif
