#include "lab/report/report.h"

#include <ctemplate/template.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>

#include "config/fields.h"
#include "lab/report/plot.h"
#include "lab/report/report_template.h"
#include "lab/statistics.h"

namespace opalroute::lab {

namespace {

using ctemplate::TemplateDictionary;
using nlohmann::json;

constexpr std::size_t kMaxBreaches = 100;

std::string NumberText(double value, int decimals) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f", decimals, value);
  return text;
}
std::string IntegerText(const json& value) { return std::to_string(value.get<long>()); }

std::vector<std::pair<double, double>> Points(const json& values) {
  std::vector<std::pair<double, double>> points;
  for (std::size_t i = 0; i < values.size(); ++i)
    if (!values[i].is_null()) points.emplace_back(i + 0.5, values[i].get<double>());
  return points;
}
std::vector<std::pair<double, double>> Points(const json& xs, const json& ys, double scale) {
  std::vector<std::pair<double, double>> points;
  for (std::size_t i = 0; i < xs.size(); ++i)
    points.emplace_back(xs[i].get<double>(), ys[i].get<double>() * scale);
  return points;
}

// ---- plots ------------------------------------------------------------------------------------------------

Plot FlowPlot(const json& result) {
  const json& seconds = result["seconds"];
  return {"seconds",
          "messages a second",
          "",
          "",
          {{"offered", Points(seconds["offered"]), "lines lw 2 lc rgb '#888888'"},
           {"delivered", Points(seconds["delivered"]), "lines lw 2 lc rgb '#14692f'"},
           {"refused", Points(seconds["refused"]), "lines lw 2 lc rgb '#a3161f'"},
           {"failed", Points(seconds["failed"]), "lines lw 2 lc rgb '#d98c00' dt 2"}}};
}

// Calls into each zone, and how many relays have evacuated it, if the times of the phase changes are known.
Plot ZonesPlot(const json& result) {
  const char* const colours[] = {"#1f4e9c", "#d98c00", "#14692f", "#6b3fa0", "#a3161f", "#555555"};
  const json& calls = result["seconds"].value("zone_calls", json::array());
  std::size_t zones = 0;
  for (const json& second : calls) zones = std::max(zones, second.size());
  Plot plot{"seconds", "calls a second", "", "", {}};
  for (std::size_t zone = 0; zone < zones; ++zone) {
    std::vector<std::pair<double, double>> points;
    for (std::size_t second = 0; second < calls.size(); ++second)
      points.emplace_back(second + 0.5, zone < calls[second].size() ? calls[second][zone].get<double>() : 0);
    plot.series.push_back({"zone " + std::to_string(zone + 1), points,
                           std::string("lines lw 2 lc rgb '") + colours[zone % 6] + "'"});
  }
  std::map<int, std::map<int, bool>> evacuated;  // by zone, by relay
  std::map<int, std::vector<std::pair<double, double>>> counts;
  for (const json& c : result.value("stages", json::array())) {
    if (c["at_s"].get<double>() <= 0) continue;  // on sockets only the order of phase changes is known
    const int zone = c["zone"].get<int>();
    auto& relays = evacuated[zone];
    relays[c["relay"].get<int>()] = c["step"] == "out";
    counts[zone].emplace_back(
        c["at_s"].get<double>(),
        std::count_if(relays.begin(), relays.end(), [](const auto& relay) { return relay.second; }));
  }
  for (const auto& [zone, points] : counts) {
    plot.y2_label = "relays that have evacuated it";
    plot.series.push_back({"evacuated zone " + std::to_string(zone + 1), points,
                           std::string("steps lw 1 dt 2 lc rgb '") + colours[zone % 6] + "'", true});
  }
  return plot;
}

Plot PartnerPlot(const json& result) {
  const json& seconds = result["seconds"];
  return {"seconds",
          "calls a second",
          "",
          "",
          {{"capacity", Points(seconds["watched_capacity"]), "filledcurves x1 lc rgb '#dbe7f5'"},
           {"calls received", Points(seconds["watched_calls"]), "lines lw 2 lc rgb '#1f4e9c'"}}};
}

// The x axis counts nines (-log10(1 - quantile)), so that the tail is shown as wide as the rest.
Plot LatencyPlot(const json& result) {
  Plot plot{"percentile",
            "seconds since due",
            "",
            "set logscale y\nset yrange [*:*]\nset xrange [0:4]\n"
            "set xtics ('0' 0, '50' 0.301, '90' 1, '99' 2, '99.9' 3, '99.99' 4)\n",
            {}};
  const char* const colours[] = {"#1f4e9c", "#d98c00", "#a3161f", "#14692f", "#6b3fa0", "#555555"};
  std::size_t i = 0;
  for (const auto& [name, c] : result["classes"].items()) {
    if (c["latency_curve"].empty()) continue;
    std::vector<std::pair<double, double>> points;
    for (const json& point : c["latency_curve"])
      points.emplace_back(point[0].get<double>(), point[1].get<double>());
    plot.series.push_back({name, points, std::string("lines lw 2 lc rgb '") + colours[i++ % 6] + "'"});
  }
  return plot;
}

// For many relays: the median and the maximum of all processes, by second.
Plot MemorySummaryPlot(const json& processes) {
  Plot plot{"seconds", "MB resident", "descriptors", "", {}};
  for (const char* key : {"rss_kb", "descriptors"}) {
    const bool memory = key == std::string("rss_kb");
    std::map<int, std::vector<double>> by_second;
    for (const json& p : processes)
      for (std::size_t i = 0; i < p["at_s"].size(); ++i)
        by_second[static_cast<int>(p["at_s"][i].get<double>())].push_back(p[key][i].get<double>() /
                                                                          (memory ? 1024 : 1));
    Series median{memory ? "median, MB" : "median, descriptors",
                  {},
                  memory ? "lines lw 2" : "lines lw 1 dt 2",
                  !memory};
    Series largest = median;
    largest.title.replace(0, 6, "largest");
    for (auto& [second, values] : by_second) {
      median.points.emplace_back(second, Median(values));
      largest.points.emplace_back(second, *std::max_element(values.begin(), values.end()));
    }
    plot.series.push_back(median);
    plot.series.push_back(largest);
  }
  return plot;
}

Plot MemoryPlot(const json& result) {
  constexpr std::size_t kMaxRelays = 12;
  if (result["processes"].size() > kMaxRelays) return MemorySummaryPlot(result["processes"]);
  Plot plot{"seconds", "MB resident", "descriptors", "", {}};
  int relay = 0;
  for (const json& p : result["processes"]) {
    const std::string name = "relay " + std::to_string(relay++);
    plot.series.push_back({name + " MB", Points(p["at_s"], p["rss_kb"], 1.0 / 1024), "lines lw 2"});
    plot.series.push_back(
        {name + " descriptors", Points(p["at_s"], p["descriptors"], 1), "lines lw 1 dt 2", true});
  }
  return plot;
}

struct Chart {
  const char* id;
  const char* name;
  const char* description;
  Plot (*draw)(const json&);
  bool sockets_only;
};
const std::vector<Chart> kCharts = {
    {"flow", "Offered, delivered, refused",
     "Offered and delivered by the second when a message was due; refused and failed by the second when it "
     "ended.",
     FlowPlot, false},
    {"zones", "Calls by zone",
     "And how many relays have evacuated each zone, if the times are known (in simulated time).", ZonesPlot,
     false},
    {"partner", "A partner's load against its capacity",
     "The busiest partner that a fault affects, or else the busiest of all.", PartnerPlot, false},
    {"latency", "Latency", "From when a message was due to its delivery, with all retries of its client.",
     LatencyPlot, false},
    {"memory", "Memory and descriptors", "Of each relay process.", MemoryPlot, true}};

// ---- tables -----------------------------------------------------------------------------------------------

struct Figure {
  const char* name;
  std::function<std::string(const json&)> of;
};
std::vector<Figure> Figures() {
  const auto integer = [](const char* key) { return [key](const json& r) { return IntegerText(r[key]); }; };
  return {{"worth", [](const json& r) { return NumberText(r["worth"].get<double>(), 4); }},
          {"worst ten seconds",
           [](const json& r) { return NumberText(r["worst_ten_seconds"].get<double>(), 4); }},
          {"handed in", integer("handed_in")},
          {"refused", integer("refused")},
          {"failed", integer("failed")},
          {"calls", integer("calls")},
          {"calls answered full", integer("full")},
          {"calls that failed", integer("errors")},
          {"calls reset", integer("resets")},
          {"calls given up", integer("timeouts")},
          {"probes", integer("probes")},
          {"partners that fell over", integer("collapses")},
          {"broken rules", [](const json& r) { return std::to_string(r["breaches"].size()); }},
          {"crashes", [](const json& r) { return std::to_string(r["crashes"].size()); }},
          {"202 after, p99.9 ms",
           [](const json& r) {
             return r.contains("answer_time_s")
                        ? NumberText(r["answer_time_s"]["p99_9"].get<double>() * 1e3, 1)
                        : std::string("simulated");
           }},
          {"laboratory late, p99 ms", [](const json& r) {
             return r["played"] == "sockets" ? NumberText(r["lateness_s"]["p99"].get<double>() * 1e3, 1)
                                             : std::string("simulated");
           }}};
}

void FillVerdict(const ReportRun& run, TemplateDictionary& page) {
  TemplateDictionary* verdict = page.AddSectionDictionary("VERDICT");
  verdict->SetValue("LABEL", run.label);
  const std::size_t breaches = run.result["breaches"].size(), crashes = run.result["crashes"].size();
  const std::string void_because = run.result.value("void_because", "");
  const bool passed = breaches + crashes == 0 && void_because.empty();
  TemplateDictionary* summary = verdict->AddSectionDictionary(passed ? "GOOD" : "BAD");
  summary->SetValue(
      "SAYS", passed ? "all rules kept, worth " + NumberText(run.result["worth"].get<double>(), 4)
              : !void_because.empty()
                  ? "void: " + void_because
                  : std::to_string(breaches) + " broken rules, " + std::to_string(crashes) + " crashes");
}

void FillClasses(const ReportRun& run, TemplateDictionary& page) {
  TemplateDictionary* table = page.AddSectionDictionary("CLASSES");
  table->SetValue("LABEL", run.label);
  for (const auto& [name, c] : run.result["classes"].items()) {
    TemplateDictionary* row = table->AddSectionDictionary("CLASS");
    row->SetValue("NAME", name);
    row->SetValue("ASKED", IntegerText(c["asked"]));
    row->SetValue("DELIVERED", IntegerText(c["delivered"]));
    row->SetValue("IN_AIM", IntegerText(c["in_aim"]));
    row->SetValue("P50", NumberText(c["latency_s"]["p50"].get<double>(), 3));
    row->SetValue("P99", NumberText(c["latency_s"]["p99"].get<double>(), 3));
    row->SetValue("P99_9", NumberText(c["latency_s"]["p99_9"].get<double>(), 3));
  }
}

void FillDestinations(const ReportRun& run, TemplateDictionary& page) {
  TemplateDictionary* table = page.AddSectionDictionary("DESTINATIONS");
  table->SetValue("LABEL", run.label);
  const json& partners = run.result["partners"];
  for (std::size_t i = 0; i < std::min<std::size_t>(10, partners.size()); ++i) {
    const json& p = partners[i];
    TemplateDictionary* row = table->AddSectionDictionary("DESTINATION");
    row->SetValue("NUMBER", IntegerText(p["number"]));
    row->SetValue("LIMIT", p["limit"].get<double>() > 0 ? NumberText(p["limit"].get<double>(), 1) : "none");
    row->SetValue("ASKED", IntegerText(p["asked"]));
    row->SetValue("DELIVERED", IntegerText(p["delivered"]));
    row->SetValue("SHARE", NumberText(p["delivered"].get<double>() / p["asked"].get<double>(), 3));
    row->SetValue("CALLS", IntegerText(p["calls"]));
  }
}

void FillBreaches(const ReportRun& run, TemplateDictionary& page) {
  TemplateDictionary* table = page.AddSectionDictionary("BREACHES");
  table->SetValue("LABEL", run.label);
  const json& breaches = run.result["breaches"];
  if (breaches.empty()) return table->ShowSection("NONE");
  TemplateDictionary* shown = table->AddSectionDictionary("SOME");
  for (std::size_t i = 0; i < std::min(kMaxBreaches, breaches.size()); ++i) {
    const json& b = breaches[i];
    TemplateDictionary* row = shown->AddSectionDictionary("BREACH");
    row->SetValue("KIND", b["kind"].get<std::string>());
    row->SetValue("AT", NumberText(b["at_s"].get<double>(), 3));
    row->SetValue("RELAY", IntegerText(b["relay"]));
    row->SetValue("MESSAGE", IntegerText(b["message"]));
    row->SetValue("ENDPOINT", IntegerText(b["endpoint"]));
    row->SetValue("TRACE", b["trace"].get<std::string>());
  }
  if (breaches.size() > kMaxBreaches)
    shown->AddSectionDictionary("MORE")->SetValue(
        "TEXT", "The first " + std::to_string(kMaxBreaches) + " of " + std::to_string(breaches.size()) + ".");
}

void FillCrashes(const std::vector<ReportRun>& runs, TemplateDictionary& page) {
  TemplateDictionary* section = nullptr;
  for (const ReportRun& run : runs) {
    for (const json& c : run.result["crashes"]) {
      if (section == nullptr) section = page.AddSectionDictionary("CRASHES");
      TemplateDictionary* row = section->AddSectionDictionary("CRASH");
      row->SetValue("LABEL", run.label);
      row->SetValue("RELAY", IntegerText(c["relay"]));
      row->SetValue("AT", NumberText(c["at_s"].get<double>(), 3));
      row->SetValue("HOW", c["how"].get<std::string>());
      row->SetValue("LOG", c["last_log"].get<std::string>());
    }
  }
}

void FillCharts(const std::vector<ReportRun>& runs, TemplateDictionary& page) {
  for (const Chart& chart : kCharts) {
    TemplateDictionary* section = nullptr;
    for (std::size_t i = 0; i < runs.size(); ++i) {
      if (chart.sockets_only && runs[i].result["processes"].empty()) continue;
      const Plot plot = chart.draw(runs[i].result);
      const bool empty = std::all_of(plot.series.begin(), plot.series.end(),
                                     [](const Series& series) { return series.points.empty(); });
      if (empty) continue;
      if (section == nullptr) {
        section = page.AddSectionDictionary("CHART");
        section->SetValue("ID", chart.id);
        section->SetValue("NAME", chart.name);
        section->AddSectionDictionary("NOTE")->SetValue("TEXT", chart.description);
      }
      TemplateDictionary* picture = section->AddSectionDictionary("PICTURE");
      picture->SetValue("LABEL", runs[i].label);
      picture->SetValue("SVG", DrawSvg(plot, std::string(chart.id) + std::to_string(i)));
    }
  }
}

}  // namespace

ReportRun ReadRun(const std::string& folder) {
  const std::string path = folder + "/result.json";
  std::ifstream file(path);
  if (!file) throw config::FieldError("there is no '" + path + "': `run --out DIR` writes it");
  ReportRun run;
  run.result = json::parse(file, nullptr, false);
  if (!run.result.is_object()) throw config::FieldError("'" + path + "' is not a JSON object");
  for (const char* key : {"scenario", "seed", "played", "worth", "seconds", "classes", "partners",
                          "processes", "breaches", "crashes"})
    if (!run.result.contains(key))
      throw config::FieldError("'" + path + "' has no '" + key + "': it was not written by this laboratory");
  run.label = std::filesystem::path(folder).lexically_normal().filename().string();
  if (run.label.empty()) run.label = std::filesystem::path(folder).parent_path().filename().string();
  run.label += " (" + run.result["scenario"].get<std::string>() + ", seed " +
               std::to_string(run.result["seed"].get<std::uint64_t>()) + ", " +
               run.result["played"].get<std::string>() + ")";
  return run;
}

std::string WriteReport(const std::vector<ReportRun>& runs) {
  TemplateDictionary page("report");
  std::string title = "Laboratory report:";
  for (std::size_t i = 0; i < runs.size(); ++i)
    title += (i > 0 ? " and " : " ") + runs[i].result["scenario"].get<std::string>();
  page.SetValue("TITLE", title);
  for (const ReportRun& run : runs) {
    FillVerdict(run, page);
    page.AddSectionDictionary("COLUMN")->SetValue("LABEL", run.label);
    FillClasses(run, page);
    FillDestinations(run, page);
    FillBreaches(run, page);
  }
  for (const Figure& figure : Figures()) {
    TemplateDictionary* row = page.AddSectionDictionary("FIGURE");
    row->SetValue("NAME", figure.name);
    for (const ReportRun& run : runs)
      row->AddSectionDictionary("VALUE")->SetValue("TEXT", figure.of(run.result));
  }
  FillCharts(runs, page);
  FillCrashes(runs, page);
  const char* const kName = "report.tpl.html";
  ctemplate::StringToTemplateCache(kName, kReportTemplate, ctemplate::DO_NOT_STRIP);
  std::string html;
  if (!ctemplate::ExpandTemplate(kName, ctemplate::DO_NOT_STRIP, &page, &html))
    throw std::runtime_error("the report's template could not be expanded");
  return html;
}

}  // namespace opalroute::lab
