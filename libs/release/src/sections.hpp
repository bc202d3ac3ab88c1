#ifndef FOXTAILVALE_RELEASE_SECTIONS_HPP
#define FOXTAILVALE_RELEASE_SECTIONS_HPP

#include <release/configuration.hpp>
#include <release/object_reader.hpp>

namespace foxtailvale::release
{

// Readers of entries that release notes and stored configurations have in
// common.
model_release read_model(object_reader& reader);
service_release read_service(object_reader& reader);
workspace_release read_workspace(object_reader& reader);

} // namespace foxtailvale::release

#endif
