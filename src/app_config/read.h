// An application's file, read whole. Each fault stands with file, line, column and a code; none of it counts
// before there is none.
//
// What goes before what, the first first: the environment (NODE_NAME, NODE_LISTEN, NODE_DISCOVERY, where they
// are set and not empty); the file itself; the profile that it names (`profile = "busy"`: the table
// [profiles.busy] of this file or of one that it includes; FERNWARD_PROFILE goes before it); the files that
// it includes, the last one first, each with its own includes behind it; the defaults. Key by key, but a list
// ([[map]]) is taken whole.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "app_config/app.h"
#include "toml_document/document.h"

namespace fernward::app_config {

using Environment = const char* (*)(const char* name); // std::getenv, or a test's

struct Setup {
  App app;                                      // counts where no fault is left
  toml_document::Faults faults;                 // what is wrong
  toml_document::Faults warnings;               // and what is likely not meant
  toml_document::Places places;                 // of what the files give, by the App's member
  std::map<std::string, std::string> variables; // what the environment gives: the variable, by member
  std::vector<std::string> files;               // all that were read
  std::string profile;                          // the one that counts

  bool sound() const { return faults.empty(); }
};

// With the checks of form and of sense, but none of this machine (app_config/host.h).
Setup read(std::string_view text, const std::string& file, Environment environment,
           const toml_document::Loader& load = toml_document::load_file);
Setup read_file(const std::string& path, Environment environment);

toml_document::Fault unreadable(const std::string& path); // the file can't be read

// Where a member stands, or the table that it would stand in; else the top of the file.
toml_document::Position place_of(const Setup& setup, std::string member, const std::string& file);

} // namespace fernward::app_config
