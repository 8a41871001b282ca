#include "app_config/new_config.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <set>
#include <stdexcept>

#include "app_config/keys.h"
#include "toml_document/value.h"
#include "toml_document/writer.h"

namespace fernward::app_config {
namespace {

using toml_document::ReferenceRow;
using toml_document::toml_quoted;

// Appends the keys of the table that are not in `given_keys`, as TOML comments.
void append_commented_keys(const ReferenceRow& table, const std::set<std::string>& given_keys,
                           std::string& out) {
  for (const ReferenceRow& row : table.children) {
    if (!row.is_leaf || given_keys.contains(row.key)) continue;
    std::string default_text = row.default_text;
    const bool unquoted = default_text == "`true`" || default_text == "`false`" ||
                          row.type_text == "number" || row.type_text == "whole number";
    if (default_text.size() > 1 && default_text.front() == '`')
      default_text = default_text.substr(1, default_text.size() - 2);
    if (row.type_text.starts_with("list")) {
      default_text = "[" + (default_text.empty() ? "" : toml_quoted(default_text)) + "]";
    } else if (default_text.empty()) {
      default_text = "..."; // no default value; the description says what applies without the key
    } else if (!unquoted) {
      default_text = toml_quoted(default_text);
    }
    out += "# " + row.key + " = " + default_text + "  # " + row.doc + "\n";
  }
}

const ReferenceRow& subtable(const ReferenceRow& table, const std::string& key) {
  for (const ReferenceRow& row : table.children) {
    if (!row.is_leaf && row.key == key) return row;
  }
  throw std::logic_error("no table " + key);
}

} // namespace

std::string new_config_text(const NewConfigOptions& options) {
  AppConfig app;
  const AppConfigNames names(app);
  const ReferenceRow top =
      toml_document::build_reference(names, [&](toml_document::Visitor& v) { describe(v, app); });
  std::string out = "# " + options.name + ": its router. Check it with `fernward config check FILE`.\n\n";
  out += "name = " + toml_quoted(options.name) + "\nlisten = " + toml_quoted(options.listen_address) +
         "  # where the application asks\n";
  append_commented_keys(top, {"name", "listen"}, out);

  out += "\n[fleet]\n";
  std::set<std::string> given_keys{"zones"};
  out += "zones = [\"here\"]\n";
  if (!options.discovery_address.empty()) {
    out += "discovery = " + toml_quoted(options.discovery_address) + "\n";
    given_keys.insert("discovery");
  }
  if (!options.nodes_file.empty()) {
    out += "file = " + toml_quoted(options.nodes_file) + "\n";
    given_keys.insert("file");
  }
  const bool nodes_listed = options.discovery_address.empty() && options.nodes_file.empty();
  const bool has_origin = nodes_listed ? !options.origin_address.empty() : options.has_origin;
  if (has_origin) {
    out += "ledger = \"ledger\"  # the kind that is asked where the others miss\n";
    given_keys.insert("ledger");
  }
  append_commented_keys(subtable(top, "fleet"), given_keys, out);
  out += "\n[fleet.kinds.cache]\n";
  append_commented_keys(subtable(subtable(top, "fleet"), "kinds"), {}, out);
  if (has_origin) out += "\n[fleet.kinds.ledger]\n";
  if (nodes_listed) {
    int node_number = 0;
    for (const std::string& node_address : options.node_addresses) {
      out += "\n[fleet.nodes.cache-" + std::to_string(++node_number) +
             "]\naddress = " + toml_quoted(node_address) + "\nkind = \"cache\"\n";
      if (node_number == 1)
        append_commented_keys(subtable(subtable(top, "fleet"), "nodes"), {"address", "kind"}, out);
    }
    if (has_origin)
      out += "\n[fleet.nodes.ledger]\naddress = " + toml_quoted(options.origin_address) +
             "\nkind = \"ledger\"\n";
  }
  const ReferenceRow& classes = subtable(top, "classes");
  out +=
      "\n[classes.lookup]  # reads, which may be asked again\naim = \"500ms\"\ngive_up = \"1s\"\nrepeat = "
      "\"safe\"\n";
  append_commented_keys(classes, {"aim", "give_up", "repeat"}, out);
  out +=
      "\n[classes.book]  # writes, with a key by which the nodes know a repeat\naim = \"500ms\"\ngive_up = "
      "\"1s\"\nworth = 3\nrepeat = \"keyed\"\n"
      "window = \"1s\"\nwrite = true\ntraffic = \"5%\"\n";
  out += "\n[tenants.all]\nshare = \"100%\"\n";
  append_commented_keys(subtable(top, "tenants"), {"share"}, out);
  out +=
      "\n[[map]]  # what requests are that do not say so in X-Priority-Class and X-Tenant-Id\npath = "
      "\"/\"\nmethod = \"GET\"\nclass = \"lookup\"\ntenant = \"all\"\n";
  out += "\n[[map]]\npath = \"/\"\nmethod = \"PUT\"\nclass = \"book\"\ntenant = \"all\"\n";
  for (const char* key :
       {"attempts", "limits", "reports", "tier", "resize", "log", "application", "expect"}) {
    out += std::string("\n[") + key + "]  # " + subtable(top, key).doc + "\n";
    append_commented_keys(subtable(top, key), {}, out);
  }
  return out;
}

void write_atomically(const std::string& path, const std::string& text) {
  const std::string temporary_path = path + ".new-" + std::to_string(getpid());
  const auto fail = [&](const std::string& action) {
    const std::string reason = std::strerror(errno);
    unlink(temporary_path.c_str());
    throw std::runtime_error(action + " " + path + ": " + reason + "; the old file is unchanged");
  };
  const int fd = open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
  if (fd < 0) fail("cannot write");
  std::size_t written_bytes = 0;
  while (written_bytes < text.size()) {
    const ssize_t count = write(fd, text.data() + written_bytes, text.size() - written_bytes);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) {
      const int error_number = errno;
      close(fd);
      errno = error_number;
      fail("cannot write");
    }
    written_bytes += static_cast<std::size_t>(count);
  }
  const bool synced = fsync(fd) == 0;
  const int error_number = errno;
  close(fd);
  errno = error_number;
  if (!synced) fail("cannot write");
  if (rename(temporary_path.c_str(), path.c_str()) != 0) fail("cannot rename the new file to");
}

} // namespace fernward::app_config
