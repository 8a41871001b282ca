#include "lab/report/plots.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

extern char** environ;

namespace fernward::lab {
namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kPatience{60};
// Rows of the heat map with names; with more machines only every second, third, ... name is written.
constexpr std::size_t kNamedRows = 48;
constexpr int kWidth = 980;

class Folder { // a temporary folder, removed by its destructor
 public:
  Folder() {
    const char* where = std::getenv("TMPDIR");
    std::string path =
        std::string(where != nullptr && *where != '\0' ? where : "/tmp") + "/fernward-plots-XXXXXX";
    if (mkdtemp(path.data()) != nullptr) path_ = path;
  }
  ~Folder() {
    std::error_code ignored;
    if (!path_.empty()) fs::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

std::string text_of(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Runs the program on the script in the folder; returns the error, or an empty string.
std::string run(const std::string& program, const fs::path& folder) {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  for (const int output : {STDOUT_FILENO, STDERR_FILENO}) {
    posix_spawn_file_actions_addopen(&files, output, (folder / "said").c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
  }
  std::string script = (folder / "script").string(), name = program;
  std::array<char*, 3> arguments{name.data(), script.data(), nullptr};
  pid_t child = 0;
  const int error = posix_spawnp(&child, program.c_str(), &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) return program + " can't be started: " + std::strerror(error);
  const auto until = Clock::now() + kPatience;
  int status = 0;
  while (waitpid(child, &status, WNOHANG) == 0) {
    if (Clock::now() > until) {
      kill(child, SIGKILL);
      waitpid(child, &status, 0);
      return program + " took more than a minute";
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return "";
  const std::string said = text_of(folder / "said");
  return program + " failed: " + said.substr(0, 400);
}

// The time axis, in a unit that suits the duration.
struct Time {
  double per_unit = 1000;
  const char* name = "seconds";
  explicit Time(double all_ms) {
    if (all_ms > 2 * 3600e3) {
      per_unit = 3600e3;
      name = "hours";
    } else if (all_ms > 600e3) {
      per_unit = 60e3;
      name = "minutes";
    }
  }
};

class Script {
 public:
  Script(const Figures& figures, fs::path folder)
      : f_(figures),
        folder_(std::move(folder)),
        all_ms_(figures.width_ms * static_cast<double>(figures.slices.size())),
        time_(all_ms_) {
    data();
    add("outcomes", "Requests by outcome",
        "the requests of each second by outcome; in time: within the class's latency objective (aim)", 250,
        outcomes());
    add("service", "Service",
        "priority weight (worth) of the requests of each second that were served in time, as a share of all",
        190, service());
    add("latency", "Latency over time", "of served requests, from the intended send time", 260, latency());
    add("percentiles", "Latency by percentile",
        "of the whole run; the share of requests that is slower shrinks "
        "tenfold with each large step to the right",
        280, percentiles());
    const int rows = static_cast<int>(f_.machines.size());
    add("load", "Load by machine", "share of the machine's current capacity in use; white: not in service",
        std::clamp(90 + 15 * rows, 190, 900), load());
    add("origin", "Requests to the origin", "fetches and writes, and the caches' hit ratio", 240, origin());
    std::ofstream(folder_ / "script") << script_.str();
  }

  std::vector<Plot> plots;
  std::vector<std::string> names; // names of the plot files, in the order of `plots`

 private:
  template <typename F>
  void table(const char* name, F row) {
    std::ofstream out(folder_ / name);
    for (std::size_t i = 0; i < f_.slices.size(); ++i) {
      out << f_.width_ms * static_cast<double>(i) / time_.per_unit;
      row(out, f_.slices[i]);
      out << "\n";
    }
    // The last step of the curve needs an end point.
    if (!f_.slices.empty()) {
      out << all_ms_ / time_.per_unit;
      row(out, f_.slices.back());
      out << "\n";
    }
  }

  void data() {
    const double seconds = f_.width_ms / 1000 * f_.runs;
    table("series", [&](std::ostream& out, const Slice& s) {
      const Tally& t = s.tally;
      const auto rate = [&](std::uint64_t n) { return static_cast<double>(n) / seconds; };
      double sum = 0;
      for (const std::uint64_t n : {t.in_aim, t.served() - t.in_aim, t.refused(), t.failed()}) {
        sum += rate(n);
        out << " " << sum;
      }
      if (t.asked > 0) {
        out << " " << 100 * t.service();
      } else {
        out << " ?";
      }
      out << " " << rate(s.fetches) << " " << rate(s.writes);
      if (s.hits + s.misses > 0) {
        out << " " << 100 * hit_ratio(s);
      } else {
        out << " ?";
      }
      for (const double quantile : {0.5, 0.9, 0.99, 1.0}) {
        if (t.latency.count() > 0) {
          out << " " << t.latency.quantile(quantile);
        } else {
          out << " ?";
        }
      }
    });
    for (std::size_t c = 0; c <= f_.classes.size(); ++c) {
      const Latency all = c == 0 ? f_.whole().tally.latency : f_.classes[c - 1].tally.latency;
      std::ofstream out(folder_ / ("class" + std::to_string(c)));
      const double least = all.count() > 0 ? 1 / static_cast<double>(all.count()) : 1;
      for (double slower = 1; slower > least; slower *= 0.93) {
        out << 1 / slower << " " << all.quantile(1 - slower) << "\n";
      }
      out << 1 / least << " " << all.quantile(1) << "\n";
    }
    std::ofstream heat(folder_ / "heat");
    for (const MachineFigures& m : f_.machines) {
      for (const MachineSlice& s : m.slices) {
        if (s.samples > 0) {
          heat << s.used / static_cast<float>(s.samples) << " ";
        } else {
          heat << "nan ";
        }
      }
      heat << "\n";
    }
  }

  // gnuplot commands that mark each event as a band or a line, with its number in the page's list.
  std::string marks(bool dark) const {
    std::ostringstream out;
    const char* colour = dark ? "#ffffff" : "#606060";
    for (std::size_t i = 0; i < f_.marks.size() && i < 60; ++i) {
      const MarkFigure& m = f_.marks[i];
      const double from = m.from_ms / time_.per_unit, to = m.to_ms / time_.per_unit;
      if (to > from && !dark) {
        out << "set object rectangle from " << from << ",graph 0 to " << to
            << ",graph 1 behind fillcolor rgb '#000000' fillstyle transparent solid 0.06 noborder\n";
      }
      out << "set arrow from " << from << ",graph 0 to " << from
          << ",graph 1 nohead front dashtype 3 linecolor rgb '" << colour << "'\n";
      out << "set label '" << i + 1 << "' at " << from
          << ",graph 1 offset 0.2,0.6 front font ',10' textcolor rgb "
          << "'#404040'\n";
    }
    return out.str();
  }

  void add(const char* name, const char* title, const char* note, int height, const std::string& body) {
    plots.push_back({title, note, ""});
    names.push_back(std::string(name) + ".svg");
    script_
        << "reset\nset encoding utf8\nset datafile missing '?'\n"
        << "set terminal svg size " << kWidth << "," << height
        << " dynamic standalone noenhanced font 'sans-serif,12' name '" << name
        << "' background rgb 'white'\nset output '" << (folder_ / names.back()).string() << "'\n"
        << "cd '" << folder_.string() << "'\n"
        << "set style fill solid 1 noborder\nset border 3 linecolor rgb '#808080'\nset tics nomirror scale "
           "0.5 textcolor rgb '#404040'\n"
        << "set grid ytics linecolor rgb '#e0e0e0' linetype 1\nset lmargin 11\nset rmargin 11\n"
        << "set key outside right top vertical Left reverse samplen 1.5 textcolor rgb '#202020' font ',11'\n"
        << body << "unset output\n";
  }
  std::string over_time() const {
    std::ostringstream out;
    out << "set rmargin 18\nset xrange [0:" << std::max(all_ms_, 1.0) / time_.per_unit << "]\nset xlabel '"
        << time_.name << "' textcolor rgb '#404040'\n";
    return out.str();
  }

  std::string outcomes() const {
    return over_time() + marks(false) +
           "set yrange [0:*]\nset ylabel 'requests / s' textcolor rgb '#404040'\n"
           "plot 'series' using 1:5 with fillsteps linecolor rgb '#b2182b' title 'failed', "
           "'' using 1:4 with fillsteps linecolor rgb '#ef8a62' title 'refused', "
           "'' using 1:3 with fillsteps linecolor rgb '#fddb8c' title 'served late', "
           "'' using 1:2 with fillsteps linecolor rgb '#4393c3' title 'served in time'\n";
  }
  std::string service() const {
    return over_time() + marks(false) +
           "set yrange [0:103]\nset ylabel '% of worth' textcolor rgb '#404040'\nunset key\n"
           "plot 'series' using 1:6 with steps linewidth 1.6 linecolor rgb '#2166ac'\n";
  }
  std::string latency() const {
    return over_time() + marks(false) +
           "set logscale y\nset yrange [*:*]\nset ylabel 'ms (log)' textcolor rgb '#404040'\n"
           "plot 'series' using 1:13 with steps linewidth 1 linecolor rgb '#bbbbbb' title 'slowest', "
           "'' using 1:12 with steps linewidth 1.6 linecolor rgb '#b2182b' title '99%', "
           "'' using 1:11 with steps linewidth 1.6 linecolor rgb '#ef8a62' title '90%', "
           "'' using 1:10 with steps linewidth 1.6 linecolor rgb '#2166ac' title '50%'\n";
  }
  std::string percentiles() const {
    static constexpr std::array kColours{"#202020", "#2166ac", "#b2182b", "#1b7837", "#762a83", "#b35806"};
    std::ostringstream out;
    out << "set rmargin 18\nset logscale xy\nset xrange [1:*]\nset ylabel 'ms (log)' textcolor rgb "
           "'#404040'\n"
        << "set xtics ('0%%' 1, '50%%' 2, '90%%' 10, '99%%' 100, '99.9%%' 1000, '99.99%%' 1e4, '99.999%%' "
           "1e5, "
           "'99.9999%%' 1e6)\n"
        << "set xlabel 'share of the requests that are no slower' textcolor rgb '#404040'\nplot ";
    for (std::size_t c = 0; c <= f_.classes.size() && c < kColours.size(); ++c) {
      out << (c > 0 ? ", " : "") << "'class" << c << "' using 1:2 with lines linewidth "
          << (c == 0 ? 2.2 : 1.4) << " linecolor rgb '" << kColours[c] << "' title '"
          << (c == 0 ? "all" : f_.classes[c - 1].name) << "'";
    }
    out << "\n";
    return out.str();
  }
  std::string load() const {
    std::ostringstream out;
    const std::size_t rows = f_.machines.size();
    out << over_time() << marks(true) << "unset key\nunset grid\nset lmargin 14\nset rmargin 12\n"
        << "set palette defined (0 '#e3eef8', 0.25 '#9ecae1', 0.5 '#4292c6', 0.75 '#f6b23c', 1 '#b2182b')\n"
        << "set cbrange [0:1]\nset cbtics ('0%%' 0, '50%%' 0.5, '100%%' 1)\nset yrange [" << rows
        << "-0.5:-0.5]\nset ytics (";
    const std::size_t step = rows / kNamedRows + 1;
    for (std::size_t i = 0; i < rows; i += step)
      out << (i > 0 ? ", " : "") << "'" << f_.machines[i].name << "' " << i;
    out << ") font ',10'\nplot 'heat' matrix using (($1+0.5)*" << f_.width_ms / time_.per_unit
        << "):2:3 with image\n";
    return out.str();
  }
  std::string origin() const {
    return over_time() + marks(false) +
           "set rmargin 26\nset yrange [0:*]\nset ylabel 'requests / s' textcolor rgb '#404040'\n"
           "set y2range [0:103]\nset y2tics\nset y2label '%' textcolor rgb '#404040'\nset border 11\n"
           "plot 'series' using 1:($7+$8) with fillsteps linecolor rgb '#92c5de' title 'fetches', "
           "'' using 1:8 with fillsteps linecolor rgb '#2166ac' title 'writes', "
           "'' using 1:9 axes x1y2 with steps linewidth 1.6 linecolor rgb '#b35806' title 'hit ratio, %'\n";
  }

  const Figures& f_;
  const fs::path folder_;
  const double all_ms_;
  const Time time_;
  std::ostringstream script_;
};

} // namespace

Plots draw_plots(const Figures& figures, const std::string& program) {
  Plots drawn;
  if (figures.slices.empty()) {
    drawn.fault = "the run has no data to plot";
    return drawn;
  }
  const Folder folder;
  if (folder.path().empty()) {
    drawn.fault = "no temporary folder can be created";
    return drawn;
  }
  Script script(figures, folder.path());
  drawn.fault = run(program, folder.path());
  if (!drawn.fault.empty()) return drawn;
  for (std::size_t i = 0; i < script.plots.size(); ++i) {
    std::string svg = text_of(folder.path() / script.names[i]);
    // Within a page the SVG must not have a document prolog.
    const std::size_t begin = svg.find("<svg");
    if (begin == std::string::npos) {
      drawn.fault = program + " wrote no SVG";
      drawn.plots.clear();
      return drawn;
    }
    script.plots[i].svg = svg.substr(begin);
    drawn.plots.push_back(std::move(script.plots[i]));
  }
  return drawn;
}

} // namespace fernward::lab
