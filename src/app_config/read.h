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

using Environment = const char* (*)(const char* name); // std::getenv, or a replacement in tests

struct Setup {
  App app;                                      // valid only without errors
  toml_document::Faults faults;                 // severity error
  toml_document::Faults warnings;               // severity warning: probably unintended
  toml_document::Places places;                 // of values given in files, by AppConfig member
  std::map<std::string, std::string> variables; // environment variables in effect, by member
  std::vector<std::string> files;               // every file that was read
  std::string profile;                          // the name of the active profile

  bool sound() const { return faults.empty(); }
};

// Includes syntactic and semantic checks, but no checks against this host (see check_host()).
Setup read(std::string_view text, const std::string& file, Environment environment,
           const toml_document::Loader& load = toml_document::load_file);
Setup read_file(const std::string& path, Environment environment);

toml_document::Fault unreadable(const std::string& path); // the error for a file that can't be read

// The position of a member, or of the nearest enclosing table that is present, or the start of the file.
toml_document::Position place_of(const Setup& setup, std::string member, const std::string& file);

} // namespace fernward::app_config
