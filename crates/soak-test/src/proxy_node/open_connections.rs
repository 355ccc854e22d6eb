//! Which clients' connections a process has open, as the operating system sees them.

use std::collections::HashSet;
use std::fs;
use std::net::{SocketAddr, SocketAddrV4};

/// Returns the ports of the clients whose connections to `address` the process has open. Empty if the
/// operating system does not tell.
pub(super) fn client_ports(process_id: u32, address: SocketAddr) -> HashSet<u16> {
    let sockets = socket_inodes(process_id);
    let table = fs::read_to_string(format!("/proc/{process_id}/net/tcp")).unwrap_or_default();
    table
        .lines()
        .filter_map(TableEntry::parse)
        .filter(|entry| SocketAddr::V4(entry.local) == address && sockets.contains(entry.inode))
        .map(|entry| entry.remote.port())
        .collect()
}

/// Returns the inodes of the sockets that a process has open, as text.
fn socket_inodes(process_id: u32) -> HashSet<String> {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return HashSet::new();
    };
    descriptors
        .filter_map(|descriptor| fs::read_link(descriptor.ok()?.path()).ok())
        .filter_map(|target| {
            let target = target.to_str()?;
            let inode = target.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(inode.to_owned())
        })
        .collect()
}

/// One line of the operating system's table of TCP sockets.
struct TableEntry<'a> {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    inode: &'a str,
}

impl<'a> TableEntry<'a> {
    /// Position of the inode among the fields of a line.
    const INODE_FIELD: usize = 9;

    /// Parses a line; `None` for the table's heading.
    fn parse(line: &'a str) -> Option<Self> {
        let fields: Vec<_> = line.split_whitespace().collect();
        Some(TableEntry {
            local: parse_address(fields.get(1)?)?,
            remote: parse_address(fields.get(2)?)?,
            inode: fields.get(Self::INODE_FIELD)?,
        })
    }
}

/// Parses an address and a port in hexadecimal; the address is in the byte order of the machine.
fn parse_address(text: &str) -> Option<SocketAddrV4> {
    let (address, port) = text.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddrV4::new(address.to_ne_bytes().into(), port))
}
