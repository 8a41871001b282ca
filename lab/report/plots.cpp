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
using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::seconds kProgramTimeout{60};
// Rows of the heat map with names; with more machines only every second, third, ... name is written.
constexpr std::size_t kMaxLabelledRows = 48;
constexpr int kWidthPixels = 980; // of each plot

class TemporaryFolder { // a temporary folder, removed by its destructor
 public:
  TemporaryFolder() {
    const char* temporary_directory = std::getenv("TMPDIR");
    std::string path =
        std::string(temporary_directory != nullptr && *temporary_directory != '\0' ? temporary_directory
                                                                                   : "/tmp") +
        "/fernward-plots-XXXXXX";
    if (mkdtemp(path.data()) != nullptr) path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    if (!path_.empty()) fs::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

std::string read_text(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Runs the program on the script in the folder. Returns an error message; empty: it succeeded.
std::string run_program(const std::string& program, const fs::path& folder) {
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
  const auto deadline = SteadyClock::now() + kProgramTimeout;
  int status = 0;
  while (waitpid(child, &status, WNOHANG) == 0) {
    if (SteadyClock::now() > deadline) {
      kill(child, SIGKILL);
      waitpid(child, &status, 0);
      return program + " took more than a minute";
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return "";
  const std::string program_output = read_text(folder / "said");
  return program + " failed: " + program_output.substr(0, 400);
}

// The time axis, in a unit that suits the duration.
struct TimeAxis {
  double ms_per_unit = 1000;
  const char* unit_name = "seconds";
  explicit TimeAxis(double total_ms) {
    if (total_ms > 2 * 3600e3) {
      ms_per_unit = 3600e3;
      unit_name = "hours";
    } else if (total_ms > 600e3) {
      ms_per_unit = 60e3;
      unit_name = "minutes";
    }
  }
};

// Writes the script and the data files for gnuplot into a folder.
class PlotScript {
 public:
  PlotScript(const RunStats& stats, fs::path folder)
      : stats_(stats),
        folder_(std::move(folder)),
        total_ms_(stats.slice_width_ms * static_cast<double>(stats.slices.size())),
        time_axis_(total_ms_) {
    write_data();
    add_plot("outcomes", "Requests by outcome",
             "the requests of each second by outcome; in time: within the class's latency objective (aim)",
             250, outcome_commands());
    add_plot(
        "service", "Service",
        "priority weight (worth) of the requests of each second that were served in time, as a share of all",
        190, service_commands());
    add_plot("latency", "Latency over time", "of served requests, from the intended send time", 260,
             latency_commands());
    add_plot("percentiles", "Latency by percentile",
             "of the whole run; the share of requests that is slower shrinks "
             "tenfold with each large step to the right",
             280, percentile_commands());
    const int rows = static_cast<int>(stats_.machines.size());
    add_plot("load", "Load by machine",
             "share of the machine's current capacity in use; white: not in service",
             std::clamp(90 + 15 * rows, 190, 900), load_commands());
    add_plot("origin", "Requests to the origin", "fetches and writes, and the caches' hit ratio", 240,
             origin_commands());
    std::ofstream(folder_ / "script") << script_.str();
  }

  std::vector<Plot> plots;
  std::vector<std::string> file_names; // names of the plot files, in the order of `plots`

 private:
  template <typename F>
  void write_table(const char* name, F write_row) {
    std::ofstream out(folder_ / name);
    for (std::size_t i = 0; i < stats_.slices.size(); ++i) {
      out << stats_.slice_width_ms * static_cast<double>(i) / time_axis_.ms_per_unit;
      write_row(out, stats_.slices[i]);
      out << "\n";
    }
    // The last step of the curve needs an end point.
    if (!stats_.slices.empty()) {
      out << total_ms_ / time_axis_.ms_per_unit;
      write_row(out, stats_.slices.back());
      out << "\n";
    }
  }

  void write_data() {
    const double seconds = stats_.slice_width_ms / 1000 * stats_.runs;
    write_table("series", [&](std::ostream& out, const TimeSlice& slice) {
      const RequestStats& request_stats = slice.request_stats;
      const auto rate = [&](std::uint64_t count) { return static_cast<double>(count) / seconds; };
      double sum = 0;
      for (const std::uint64_t count :
           {request_stats.within_objective, request_stats.served() - request_stats.within_objective,
            request_stats.rejected(), request_stats.failed()}) {
        sum += rate(count);
        out << " " << sum;
      }
      if (request_stats.drawn_weight > 0) {
        out << " " << 100 * request_stats.service();
      } else {
        out << " ?";
      }
      out << " " << rate(slice.origin_reads) << " " << rate(slice.origin_writes);
      if (slice.hits + slice.misses > 0) {
        out << " " << 100 * hit_ratio(slice);
      } else {
        out << " ?";
      }
      for (const double quantile : {0.5, 0.9, 0.99, 1.0}) {
        if (request_stats.latency_histogram.count() > 0) {
          out << " " << request_stats.latency_histogram.quantile(quantile);
        } else {
          out << " ?";
        }
      }
    });
    for (std::size_t class_index = 0; class_index <= stats_.classes.size(); ++class_index) {
      const LatencyHistogram latencies =
          class_index == 0 ? stats_.total().request_stats.latency_histogram
                           : stats_.classes[class_index - 1].request_stats.latency_histogram;
      std::ofstream out(folder_ / ("class" + std::to_string(class_index)));
      const double min_share = latencies.count() > 0 ? 1 / static_cast<double>(latencies.count()) : 1;
      for (double slower_share = 1; slower_share > min_share; slower_share *= 0.93) {
        out << 1 / slower_share << " " << latencies.quantile(1 - slower_share) << "\n";
      }
      out << 1 / min_share << " " << latencies.quantile(1) << "\n";
    }
    std::ofstream heat_map(folder_ / "heat");
    for (const MachineStats& machine : stats_.machines) {
      for (const MachineTimeSlice& slice : machine.slices) {
        if (slice.sample_count > 0) {
          heat_map << slice.utilization_sum / static_cast<float>(slice.sample_count) << " ";
        } else {
          heat_map << "nan ";
        }
      }
      heat_map << "\n";
    }
  }

  // gnuplot commands that mark each event by a line with its number in the page's list, and on a light
  // background its duration by a band.
  std::string event_marks(bool dark_background) const {
    std::ostringstream out;
    const char* colour = dark_background ? "#ffffff" : "#606060";
    for (std::size_t i = 0; i < stats_.event_intervals.size() && i < 60; ++i) {
      const EventInterval& interval = stats_.event_intervals[i];
      const double from = interval.from_ms / time_axis_.ms_per_unit,
                   to = interval.to_ms / time_axis_.ms_per_unit;
      if (to > from && !dark_background) {
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

  void add_plot(const char* name, const char* title, const char* note, int height, const std::string& body) {
    plots.push_back({title, note, ""});
    file_names.push_back(std::string(name) + ".svg");
    script_
        << "reset\nset encoding utf8\nset datafile missing '?'\n"
        << "set terminal svg size " << kWidthPixels << "," << height
        << " dynamic standalone noenhanced font 'sans-serif,12' name '" << name
        << "' background rgb 'white'\nset output '" << (folder_ / file_names.back()).string() << "'\n"
        << "cd '" << folder_.string() << "'\n"
        << "set style fill solid 1 noborder\nset border 3 linecolor rgb '#808080'\nset tics nomirror scale "
           "0.5 textcolor rgb '#404040'\n"
        << "set grid ytics linecolor rgb '#e0e0e0' linetype 1\nset lmargin 11\nset rmargin 11\n"
        << "set key outside right top vertical Left reverse samplen 1.5 textcolor rgb '#202020' font ',11'\n"
        << body << "unset output\n";
  }
  std::string time_axis_commands() const {
    std::ostringstream out;
    out << "set rmargin 18\nset xrange [0:" << std::max(total_ms_, 1.0) / time_axis_.ms_per_unit
        << "]\nset xlabel '" << time_axis_.unit_name << "' textcolor rgb '#404040'\n";
    return out.str();
  }

  std::string outcome_commands() const {
    return time_axis_commands() + event_marks(false) +
           "set yrange [0:*]\nset ylabel 'requests / s' textcolor rgb '#404040'\n"
           "plot 'series' using 1:5 with fillsteps linecolor rgb '#b2182b' title 'failed', "
           "'' using 1:4 with fillsteps linecolor rgb '#ef8a62' title 'refused', "
           "'' using 1:3 with fillsteps linecolor rgb '#fddb8c' title 'served late', "
           "'' using 1:2 with fillsteps linecolor rgb '#4393c3' title 'served in time'\n";
  }
  std::string service_commands() const {
    return time_axis_commands() + event_marks(false) +
           "set yrange [0:103]\nset ylabel '% of worth' textcolor rgb '#404040'\nunset key\n"
           "plot 'series' using 1:6 with steps linewidth 1.6 linecolor rgb '#2166ac'\n";
  }
  std::string latency_commands() const {
    return time_axis_commands() + event_marks(false) +
           "set logscale y\nset yrange [*:*]\nset ylabel 'ms (log)' textcolor rgb '#404040'\n"
           "plot 'series' using 1:13 with steps linewidth 1 linecolor rgb '#bbbbbb' title 'slowest', "
           "'' using 1:12 with steps linewidth 1.6 linecolor rgb '#b2182b' title '99%', "
           "'' using 1:11 with steps linewidth 1.6 linecolor rgb '#ef8a62' title '90%', "
           "'' using 1:10 with steps linewidth 1.6 linecolor rgb '#2166ac' title '50%'\n";
  }
  std::string percentile_commands() const {
    static constexpr std::array kColours{"#202020", "#2166ac", "#b2182b", "#1b7837", "#762a83", "#b35806"};
    std::ostringstream out;
    out << "set rmargin 18\nset logscale xy\nset xrange [1:*]\nset ylabel 'ms (log)' textcolor rgb "
           "'#404040'\n"
        << "set xtics ('0%%' 1, '50%%' 2, '90%%' 10, '99%%' 100, '99.9%%' 1000, '99.99%%' 1e4, '99.999%%' "
           "1e5, "
           "'99.9999%%' 1e6)\n"
        << "set xlabel 'share of the requests that are no slower' textcolor rgb '#404040'\nplot ";
    for (std::size_t class_index = 0; class_index <= stats_.classes.size() && class_index < kColours.size();
         ++class_index) {
      out << (class_index > 0 ? ", " : "") << "'class" << class_index << "' using 1:2 with lines linewidth "
          << (class_index == 0 ? 2.2 : 1.4) << " linecolor rgb '" << kColours[class_index] << "' title '"
          << (class_index == 0 ? "all" : stats_.classes[class_index - 1].name) << "'";
    }
    out << "\n";
    return out.str();
  }
  std::string load_commands() const {
    std::ostringstream out;
    const std::size_t rows = stats_.machines.size();
    out << time_axis_commands() << event_marks(true)
        << "unset key\nunset grid\nset lmargin 14\nset rmargin 12\n"
        << "set palette defined (0 '#e3eef8', 0.25 '#9ecae1', 0.5 '#4292c6', 0.75 '#f6b23c', 1 '#b2182b')\n"
        << "set cbrange [0:1]\nset cbtics ('0%%' 0, '50%%' 0.5, '100%%' 1)\nset yrange [" << rows
        << "-0.5:-0.5]\nset ytics (";
    const std::size_t step = rows / kMaxLabelledRows + 1;
    for (std::size_t i = 0; i < rows; i += step)
      out << (i > 0 ? ", " : "") << "'" << stats_.machines[i].name << "' " << i;
    out << ") font ',10'\nplot 'heat' matrix using (($1+0.5)*"
        << stats_.slice_width_ms / time_axis_.ms_per_unit << "):2:3 with image\n";
    return out.str();
  }
  std::string origin_commands() const {
    return time_axis_commands() + event_marks(false) +
           "set rmargin 26\nset yrange [0:*]\nset ylabel 'requests / s' textcolor rgb '#404040'\n"
           "set y2range [0:103]\nset y2tics\nset y2label '%' textcolor rgb '#404040'\nset border 11\n"
           "plot 'series' using 1:($7+$8) with fillsteps linecolor rgb '#92c5de' title 'fetches', "
           "'' using 1:8 with fillsteps linecolor rgb '#2166ac' title 'writes', "
           "'' using 1:9 axes x1y2 with steps linewidth 1.6 linecolor rgb '#b35806' title 'hit ratio, %'\n";
  }

  const RunStats& stats_;
  const fs::path folder_;
  const double total_ms_;
  const TimeAxis time_axis_;
  std::ostringstream script_;
};

} // namespace

Plots draw_plots(const RunStats& stats, const std::string& program) {
  Plots result;
  if (stats.slices.empty()) {
    result.error = "the run has no data to plot";
    return result;
  }
  const TemporaryFolder folder;
  if (folder.path().empty()) {
    result.error = "no temporary folder can be created";
    return result;
  }
  PlotScript script(stats, folder.path());
  result.error = run_program(program, folder.path());
  if (!result.error.empty()) return result;
  for (std::size_t i = 0; i < script.plots.size(); ++i) {
    std::string svg = read_text(folder.path() / script.file_names[i]);
    // Within a page the SVG must not have a document prolog.
    const std::size_t begin = svg.find("<svg");
    if (begin == std::string::npos) {
      result.error = program + " wrote no SVG";
      result.plots.clear();
      return result;
    }
    script.plots[i].svg = svg.substr(begin);
    result.plots.push_back(std::move(script.plots[i]));
  }
  return result;
}

} // namespace fernward::lab
