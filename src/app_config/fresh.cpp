#include "app_config/fresh.h"

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

using toml_document::in_quotes;
using toml_document::Row;

// Appends the keys of the table that are not in `given_keys`, as TOML comments.
void commented(const Row& table, const std::set<std::string>& given, std::string& out) {
  for (const Row& row : table.children) {
    if (!row.is_leaf || given.contains(row.key)) continue;
    std::string now = row.now;
    const bool bare =
        now == "`true`" || now == "`false`" || row.written == "number" || row.written == "whole number";
    if (now.size() > 1 && now.front() == '`') now = now.substr(1, now.size() - 2);
    if (row.written.starts_with("list")) {
      now = "[" + (now.empty() ? "" : in_quotes(now)) + "]";
    } else if (now.empty()) {
      now = "..."; // no default value; the description says what applies without the key
    } else if (!bare) {
      now = in_quotes(now);
    }
    out += "# " + row.key + " = " + now + "  # " + row.doc + "\n";
  }
}

const Row& part(const Row& top, const std::string& key) {
  for (const Row& row : top.children) {
    if (!row.is_leaf && row.key == key) return row;
  }
  throw std::logic_error("no table " + key);
}

} // namespace

std::string fresh(const Wishes& w) {
  App app;
  const AppNames names(app);
  const Row top = toml_document::reference(names, [&](toml_document::Visitor& v) { describe(v, app); });
  std::string out = "# " + w.name + ": its router. Check it with `fernward config check FILE`.\n\n";
  out += "name = " + in_quotes(w.name) + "\nlisten = " + in_quotes(w.listen) +
         "  # where the application asks\n";
  commented(top, {"name", "listen"}, out);

  out += "\n[fleet]\n";
  std::set<std::string> given{"zones"};
  out += "zones = [\"here\"]\n";
  if (!w.discovery.empty()) {
    out += "discovery = " + in_quotes(w.discovery) + "\n";
    given.insert("discovery");
  }
  if (!w.file.empty()) {
    out += "file = " + in_quotes(w.file) + "\n";
    given.insert("file");
  }
  const bool listed = w.discovery.empty() && w.file.empty();
  const bool ledger = listed ? !w.ledger.empty() : w.has_ledger;
  if (ledger) {
    out += "ledger = \"ledger\"  # the kind that is asked where the others miss\n";
    given.insert("ledger");
  }
  commented(part(top, "fleet"), given, out);
  out += "\n[fleet.kinds.cache]\n";
  commented(part(part(top, "fleet"), "kinds"), {}, out);
  if (ledger) out += "\n[fleet.kinds.ledger]\n";
  if (listed) {
    int number = 0;
    for (const std::string& node : w.nodes) {
      out += "\n[fleet.nodes.cache-" + std::to_string(++number) + "]\naddress = " + in_quotes(node) +
             "\nkind = \"cache\"\n";
      if (number == 1) commented(part(part(top, "fleet"), "nodes"), {"address", "kind"}, out);
    }
    if (ledger) out += "\n[fleet.nodes.ledger]\naddress = " + in_quotes(w.ledger) + "\nkind = \"ledger\"\n";
  }
  const Row& classes = part(top, "classes");
  out +=
      "\n[classes.lookup]  # reads, which may be asked again\naim = \"500ms\"\ngive_up = \"1s\"\nrepeat = "
      "\"safe\"\n";
  commented(classes, {"aim", "give_up", "repeat"}, out);
  out +=
      "\n[classes.book]  # writes, with a key by which the nodes know a repeat\naim = \"500ms\"\ngive_up = "
      "\"1s\"\nworth = 3\nrepeat = \"keyed\"\n"
      "window = \"1s\"\nwrite = true\ntraffic = \"5%\"\n";
  out += "\n[tenants.all]\nshare = \"100%\"\n";
  commented(part(top, "tenants"), {"share"}, out);
  out +=
      "\n[[map]]  # what requests are that do not say so in X-Priority-Class and X-Tenant-Id\npath = "
      "\"/\"\nmethod = \"GET\"\nclass = \"lookup\"\ntenant = \"all\"\n";
  out += "\n[[map]]\npath = \"/\"\nmethod = \"PUT\"\nclass = \"book\"\ntenant = \"all\"\n";
  for (const char* key :
       {"attempts", "limits", "reports", "tier", "resize", "log", "application", "expect"}) {
    out += std::string("\n[") + key + "]  # " + part(top, key).doc + "\n";
    commented(part(top, key), {}, out);
  }
  return out;
}

void save(const std::string& path, const std::string& text) {
  const std::string beside = path + ".new-" + std::to_string(getpid());
  const auto fail = [&](const std::string& what) {
    const std::string why = std::strerror(errno);
    unlink(beside.c_str());
    throw std::runtime_error(what + " " + path + ": " + why + "; the old file is unchanged");
  };
  const int fd = open(beside.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0644);
  if (fd < 0) fail("cannot write");
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t n = write(fd, text.data() + done, text.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      const int why = errno;
      close(fd);
      errno = why;
      fail("cannot write");
    }
    done += static_cast<std::size_t>(n);
  }
  const bool synced = fsync(fd) == 0;
  const int why = errno;
  close(fd);
  errno = why;
  if (!synced) fail("cannot write");
  if (rename(beside.c_str(), path.c_str()) != 0) fail("cannot rename the new file to");
}

} // namespace fernward::app_config
