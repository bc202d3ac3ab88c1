#include "sections.hpp"

#include <release/release_note.hpp>

namespace foxtailvale::release
{

namespace
{

constexpr std::uint64_t max_note_number = 1ULL << 62U;
constexpr std::uint64_t max_replicas = 100'000;
constexpr std::uint64_t max_limit = 10'000;
constexpr std::uint64_t max_memory_mib = 16U * 1024U * 1024U;
constexpr std::uint64_t max_weight = 1000;
constexpr std::size_t digest_length = 64;

bool is_digest(std::string const& text)
{
    return text.size() == digest_length &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::uint32_t to_uint32(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

template <class Release, class Function>
void read_entries(
    object_reader reader, std::map<std::string, Release>& into, Function read)
{
    for (auto const& name : reader.keys())
    {
        auto entry = reader.child(name);
        into.emplace(name, read(entry));
        entry.finish();
    }
}

domain_release read_new_domain(object_reader& reader)
{
    domain_release domain;
    domain.region = reader.text("region");
    return domain;
}

note_section read_section(object_reader reader)
{
    note_section section;
    read_entries(reader.child("models"), section.models, read_model);
    read_entries(reader.child("services"), section.services, read_service);
    read_entries(reader.child("domains"), section.domains, read_new_domain);
    read_entries(
        reader.child("workspaces"), section.workspaces, read_workspace);
    reader.finish();
    return section;
}

withdrawn_section read_withdrawn(object_reader reader)
{
    withdrawn_section section;
    section.models = reader.texts_or_empty("models");
    section.services = reader.texts_or_empty("services");
    section.domains = reader.texts_or_empty("domains");
    section.workspaces = reader.texts_or_empty("workspaces");
    reader.finish();
    return section;
}

std::map<std::string, bool> read_domain_states(object_reader reader)
{
    std::map<std::string, bool> states;
    for (auto const& name : reader.keys())
    {
        auto const state = reader.text(name);
        if (state != "in" && state != "out")
        {
            reader.add_fault(name, "must be \"in\" or \"out\"");
        }
        states.emplace(name, state == "in");
    }
    return states;
}

// Applies a note to a configuration and collects the conflicts between the two
// as faults.
class note_applier
{
public:
    note_applier(configuration start, std::uint64_t number, document& source)
        : value(std::move(start)), note(number), root(source, "", source.faults)
    {
        this->value.generation = number;
    }

    template <class Release>
    void
    add(std::string const& section,
        std::map<std::string, Release> const& entries,
        std::map<std::string, Release>& into)
    {
        for (auto const& [name, entry] : entries)
        {
            if (into.contains(name))
            {
                this->add_fault("added", section, name, "is there already");
            }
            this->put(into, name, entry);
        }
    }

    template <class Release>
    void change(
        std::string const& section,
        std::map<std::string, Release> const& entries,
        std::map<std::string, Release>& into)
    {
        for (auto const& [name, entry] : entries)
        {
            if (!into.contains(name))
            {
                this->add_fault("changed", section, name, "is not there");
            }
            this->put(into, name, entry);
        }
    }

    template <class Release>
    void withdraw(
        std::string const& section,
        std::vector<std::string> const& names,
        std::map<std::string, Release>& from)
    {
        for (auto const& name : names)
        {
            if (from.erase(name) == 0)
            {
                this->root.child("withdrawn")
                    .add_fault(section, name + " is not there");
            }
        }
    }

    void set_domains(std::map<std::string, bool> const& states)
    {
        for (auto const& [name, in] : states)
        {
            auto const found = this->value.domains.find(name);
            if (found == this->value.domains.end())
            {
                this->root.child("failure_domains")
                    .add_fault(name, "is not a known failure domain");
                continue;
            }
            found->second.in = in;
            found->second.clause_note = this->note;
        }
    }

    void check_references()
    {
        for (auto const& [name, model] : this->value.models)
        {
            this->check_replicas(name, model);
            if (!model.base.empty() && !this->value.models.contains(model.base))
            {
                this->root.add_fault(
                    "", "adapter " + name + " names a base that is not there");
            }
        }
    }

    configuration value;

private:
    template <class Release>
    void
    put(std::map<std::string, Release>& into,
        std::string const& name,
        Release entry)
    {
        if constexpr (requires { entry.clause_note; })
        {
            entry.clause_note = this->note;
        }
        into.insert_or_assign(name, std::move(entry));
    }

    void check_replicas(std::string const& name, model_release const& model)
    {
        for (auto const& [domain, count] : model.replicas)
        {
            if (!this->value.domains.contains(domain))
            {
                std::string what = "wants replicas in ";
                what += domain;
                what += ", which is not a known failure domain: model ";
                what += name;
                this->root.add_fault("", what);
            }
        }
    }

    void add_fault(
        std::string const& list,
        std::string const& section,
        std::string const& name,
        std::string const& what)
    {
        this->root.child(list).child(section).add_fault(name, what);
    }

    std::uint64_t note;
    object_reader root;
};

} // namespace

model_release read_model(object_reader& reader)
{
    model_release model;
    model.digest = reader.text("digest");
    if (!model.digest.empty() && !is_digest(model.digest))
    {
        reader.add_fault("digest", "must be 64 lower-case hexadecimal digits");
    }
    model.base = reader.text_or("base", "");
    auto replicas = reader.child("replicas");
    for (auto const& domain : replicas.keys())
    {
        model.replicas.emplace(
            domain, to_uint32(replicas.number(domain, 0, max_replicas)));
    }
    model.floor = to_uint32(reader.number_or("floor", 0, 0, max_replicas));
    model.limit = to_uint32(reader.number_or("limit", 8, 1, max_limit));
    model.cold_limit =
        to_uint32(reader.number_or("cold_limit", 1, 1, model.limit));
    model.memory_mib =
        to_uint32(reader.number_or("memory_mib", 0, 0, max_memory_mib));
    return model;
}

service_release read_service(object_reader& reader)
{
    service_release service;
    service.repeatable = reader.flag_or("repeatable", false);
    service.limit = to_uint32(reader.number_or("limit", 8, 1, max_limit));
    return service;
}

workspace_release read_workspace(object_reader& reader)
{
    return {to_uint32(reader.number_or("weight", 1, 1, max_weight))};
}

release_note read_release_note(document& source)
{
    release_note note;
    object_reader reader(source, "", source.faults);
    note.number = reader.number("note", 1, max_note_number);
    note.follows = reader.number("follows", 0, max_note_number);
    note.summary = reader.text_or("summary", "");
    note.added = read_section(reader.child("added"));
    note.changed = read_section(reader.child("changed"));
    note.withdrawn = read_withdrawn(reader.child("withdrawn"));
    note.domain_in_service =
        read_domain_states(reader.child("failure_domains"));
    reader.finish();
    if (note.number <= note.follows)
    {
        reader.add_fault("note", "must be larger than the note it follows");
    }
    return note;
}

configuration apply_note(
    configuration const& in_force, release_note const& note, document& source)
{
    note_applier applier(in_force, note.number, source);
    auto& value = applier.value;
    if (note.follows != in_force.generation)
    {
        object_reader(source, "", source.faults)
            .add_fault(
                "follows",
                "follows note " + std::to_string(note.follows) + ", but note " +
                    std::to_string(in_force.generation) + " is in force");
    }
    applier.add("domains", note.added.domains, value.domains);
    applier.add("models", note.added.models, value.models);
    applier.add("services", note.added.services, value.services);
    applier.add("workspaces", note.added.workspaces, value.workspaces);
    applier.change("domains", note.changed.domains, value.domains);
    applier.change("models", note.changed.models, value.models);
    applier.change("services", note.changed.services, value.services);
    applier.change("workspaces", note.changed.workspaces, value.workspaces);
    applier.withdraw("models", note.withdrawn.models, value.models);
    applier.withdraw("services", note.withdrawn.services, value.services);
    applier.withdraw("domains", note.withdrawn.domains, value.domains);
    applier.withdraw("workspaces", note.withdrawn.workspaces, value.workspaces);
    applier.set_domains(note.domain_in_service);
    applier.check_references();
    return std::move(value);
}

} // namespace foxtailvale::release
