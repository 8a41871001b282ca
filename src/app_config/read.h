// Reads an application's file. All errors are collected, each with file, line, column and code; the
// configuration is valid only if there are none.
//
// Order of precedence, highest first: the environment (NODE_NAME, NODE_LISTEN, NODE_DISCOVERY, if set and not
// empty); the file itself; the active profile (`profile = "busy"` selects the table [profiles.busy] of this
// file or of an included one; FERNWARD_PROFILE overrides the key); the included files, the last one first,
// each followed by its own includes; the defaults. Precedence applies per key; a list ([[map]]) is taken from
// one source as a unit.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "app_config/app.h"
#include "toml_document/document.h"

namespace fernward::app_config {

using EnvironmentLookup = const char* (*)(const char* name); // std::getenv, or a replacement in tests

struct LoadedConfig {
  AppConfig app;                                            // valid only without errors
  toml_document::Diagnostics errors;                        // the configuration is invalid if there are any
  toml_document::Diagnostics warnings;                      // valid, but probably unintended
  toml_document::Positions positions;                       // of values given in files, by AppConfig member
  std::map<std::string, std::string> environment_variables; // names of those in effect, by member
  std::vector<std::string> files_read;                      // every file that was read
  std::string active_profile;                               // the name of the active profile

  bool valid() const { return errors.empty(); }
};

// Includes syntactic and semantic checks, but no checks against this host (see check_host()).
LoadedConfig parse_config(std::string_view text, const std::string& file, EnvironmentLookup environment,
                          const toml_document::FileLoader& load = toml_document::load_file);
LoadedConfig load_config(const std::string& path, EnvironmentLookup environment);

toml_document::Diagnostic unreadable_file(const std::string& path); // the error for a file that can't be read

// The position of a member, or of the nearest enclosing table that is present, or the start of the file.
toml_document::Position member_position(const LoadedConfig& config, std::string member,
                                        const std::string& file);

} // namespace fernward::app_config
