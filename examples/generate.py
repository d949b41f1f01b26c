#!/usr/bin/env python3
"""Writes the example deployments at the sizes that their operators gave.

Each folder gets the catalogue, the host list, the settings of each host, the
settings of the backend stand-ins and the mix of a load.
"""
import json
import pathlib

ADDRESS = "127.0.0.1"
KEYS_A_SHARD = 1000
KEY_STRIDE = 100
COLD_SLOTS = 1
WARM_UP_MS = 4000


class Service:
    """One service: how it is called, how it is split, what its servers bear."""

    def __init__(self, name, owner, service_class, shards, replicas, slots,
                 connections, connect_ms, service_us, limits):
        self.name = name
        self.owner = owner
        self.service_class = service_class
        self.shards = shards
        self.replicas = replicas
        self.slots = slots
        self.connections = connections
        self.connect_ms = connect_ms
        self.service_us = service_us
        self.limits = limits

    def server_ids(self, shard):
        return [f"{self.name}-{shard}{chr(ord('a') + replica)}"
                for replica in range(self.replicas)]

    def shard_range(self, shard):
        return shard * KEYS_A_SHARD, (shard + 1) * KEYS_A_SHARD


class Deployment:
    """All that one deployment's files are written from."""

    def __init__(self, name, domains, hosts, cross_domain_us, first_port,
                 services, mix, rate):
        self.name = name
        self.domains = domains
        self.hosts = hosts
        self.cross_domain_us = cross_domain_us
        self.first_port = first_port
        self.services = services
        self.mix = mix
        self.rate = rate
        self.next_port = first_port

    def take_port(self):
        self.next_port += 1
        return self.next_port - 1

    def write(self, folder):
        folder.mkdir(parents=True, exist_ok=True)
        platform_port = self.take_port()
        self.write_hosts(folder, platform_port)
        catalogue = {"fleet": {"owner": self.name}}
        for domain in self.domains:
            catalogue[f"domain/{domain}"] = {
                "id": domain, "owner": self.name, "region": self.name,
                "state": "in"}
        stand_ins = []
        for service in self.services:
            catalogue[f"service/{service.name}"] = self.service_entry(
                service, stand_ins)
        write_json(folder / "catalogue.json", catalogue)
        write_json(folder / "backends.json", {
            "defaults": {"key_stride": KEY_STRIDE,
                         "cross_domain_us": self.cross_domain_us},
            "servers": stand_ins})
        write_json(folder / "load.json", {"rate": self.rate, "seed": 1,
                                          "mix": self.mix_items()})

    def write_hosts(self, folder, platform_port):
        hosts = []
        for domain, count in zip(self.domains, self.hosts):
            for index in range(count):
                hosts.append({"id": f"{domain}-h{index + 1}", "domain": domain,
                              "address": ADDRESS,
                              "caller_port": self.take_port(),
                              "peer_port": self.take_port()})
        write_json(folder / "hosts.json", {"hosts": hosts})
        (folder / "hosts").mkdir(exist_ok=True)
        for host in hosts:
            seeds = [peer for peer in hosts if peer is not host][:3]
            write_json(folder / "hosts" / f"{host['id']}.json", {
                "id": host["id"], "domain": host["domain"],
                "caller_listen": endpoint(host["caller_port"]),
                "peer_listen": endpoint(host["peer_port"]),
                "platform": endpoint(platform_port),
                "seed_peers": [endpoint(peer["peer_port"]) for peer in seeds],
                "threads": 2})

    def service_entry(self, service, stand_ins):
        servers, shards = [], []
        for shard in range(service.shards):
            begin, end = service.shard_range(shard)
            ids = service.server_ids(shard)
            shards.append({"id": shard, "begin": begin, "end": end,
                           "replicas": ids})
            for replica, server_id in enumerate(ids):
                domain = self.domains[(shard + replica) % len(self.domains)]
                port = self.take_port()
                servers.append({
                    "id": server_id, "domain": domain, "address": ADDRESS,
                    "port": port, "slots": service.slots,
                    "connections": service.connections,
                    "cold_slots": COLD_SLOTS, "warm_up_ms": WARM_UP_MS})
                stand_ins.append({
                    "id": server_id, "domain": domain, "port": port,
                    "slots": service.slots,
                    "connections": service.connections,
                    "connect_ms": service.connect_ms,
                    "service_us": service.service_us,
                    "straggler_share": 0.01, "straggler_factor": 10,
                    "cold_slots": COLD_SLOTS, "warm_up_ms": WARM_UP_MS,
                    "seed": len(stand_ins) + 1,
                    "shards": [{"service": service.name, "shard": shard,
                                "begin": begin, "end": end}]})
        return {"id": service.name, "owner": service.owner,
                "class": service.service_class, "limits": service.limits,
                "servers": servers, "shards": shards}

    def mix_items(self):
        by_name = {service.name: service for service in self.services}
        items = []
        for item in self.mix:
            service = by_name[item["service"]]
            floor = service.limits["coverage_floor"]
            items.append({**item, "begin": 0,
                          "end": service.shards * KEYS_A_SHARD,
                          "key_stride": KEY_STRIDE, "shards": service.shards,
                          "coverage_floor": 0 if item.get("action") else floor})
        return items


def endpoint(port):
    return {"address": ADDRESS, "port": port}


def write_json(path, value):
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")


def limits(in_flight, deadline_ms, floor):
    return {"max_in_flight": in_flight, "default_deadline_ms": deadline_ms,
            "max_deadline_ms": 5000, "coverage_floor": floor}


def mantaro():
    services = [
        Service("plan-finder", "agronomy", "comparison", 20, 2, 2, 25, 6, 3000,
                limits(64, 1000, 0.9)),
        Service("cooperative-portal", "cooperatives", "comparison", 30, 2, 2,
                25, 6, 3000, limits(64, 1000, 0.9)),
        Service("counter-desk", "counter", "whole", 5, 2, 4, 110, 1, 2000,
                limits(128, 1000, 1.0)),
        Service("water-office", "water", "whole", 2, 2, 4, 110, 1, 2000,
                limits(128, 800, 1.0)),
    ]
    mix = [
        {"name": "dosing comparison", "service": "plan-finder", "weight": 4,
         "deadline_ms": 1000},
        {"name": "district comparison", "service": "cooperative-portal",
         "weight": 3, "deadline_ms": 1000},
        {"name": "nitrate alert", "service": "water-office", "weight": 4,
         "deadline_ms": 800},
        {"name": "parcel query", "service": "counter-desk", "weight": 6,
         "deadline_ms": 1000},
        {"name": "plan write", "service": "counter-desk", "weight": 3,
         "deadline_ms": 1000, "action": True},
    ]
    return Deployment("mantaro", ["valley-a", "valley-b", "valley-c",
                                  "valley-d"], [3, 2, 2, 2], 1500, 21000,
                      services, mix, 60)


def prairie():
    services = [
        Service("till-front", "dining", "latency_first", 20, 2, 3, 30, 6, 2000,
                limits(64, 600, 0.9)),
        Service("menu-board", "menus", "whole", 30, 2, 3, 30, 6, 3000,
                limits(64, 1000, 1.0)),
        Service("plan-desk", "plans", "whole", 6, 2, 4, 40, 1, 2000,
                limits(128, 1000, 1.0)),
        Service("supplier-feed", "suppliers", "comparison", 3, 2, 4, 40, 1,
                2000, limits(64, 1000, 0.8)),
    ]
    mix = [
        {"name": "balance", "service": "till-front", "weight": 6,
         "deadline_ms": 600},
        {"name": "allergens", "service": "menu-board", "weight": 4,
         "deadline_ms": 1000},
        {"name": "plan query", "service": "plan-desk", "weight": 3,
         "deadline_ms": 1000},
        {"name": "swipe", "service": "plan-desk", "weight": 5,
         "deadline_ms": 1000, "action": True},
        {"name": "supplies", "service": "supplier-feed", "weight": 2,
         "deadline_ms": 1000},
    ]
    return Deployment("prairie", ["west-a", "west-b", "west-c"], [3, 2, 2],
                      1000, 22000, services, mix, 60)


def main():
    root = pathlib.Path(__file__).resolve().parent
    for deployment in (mantaro(), prairie()):
        deployment.write(root / deployment.name)


if __name__ == "__main__":
    main()
